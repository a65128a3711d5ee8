//! Duplicate names are reported at the position of the second element.
#![allow(clippy::unwrap_used, clippy::expect_used, missing_docs)]

fn settings() -> String {
    let zeros = "0".repeat(64);
    format!(
        r#"<chalkyard xmlns="urn:chalkyard:settings:1">
  <router name="r1" listen="127.0.0.1:1"/>
  <zones><zone name="east"/>
    <zone name="west"/></zones>
  <kinds><kind name="mixed" role="mixed"/>
    <kind name="reads" role="reader"/></kinds>
  <classes default="help">
    <class name="help" aim="1s" deadline="5s" effect="free"/>
    <class name="report" aim="1s" deadline="5s" effect="free"/>
  </classes>
  <tenants salt="{zeros}"><tenant name="north"/>
    <tenant name="south"/></tenants>
  <engines><engine id="e1" kind="mixed" address="127.0.0.1:2"/>
    <engine id="e2" kind="mixed" address="127.0.0.1:3"/></engines>
</chalkyard>"#
    )
}

#[test]
fn a_duplicate_name_is_reported_at_the_second_one() {
    assert!(chalkyard_settings::read(&settings()).is_ok());
    for (first, second) in
        [("east", "west"), ("mixed", "reads"), ("help", "report"), ("north", "south"), ("e1", "e2")]
    {
        let place =
            settings().lines().position(|l| l.contains(&format!("\"{second}\""))).expect("the second") + 1;
        let doubled = settings().replace(&format!("\"{second}\""), &format!("\"{first}\""));
        let errors = chalkyard_settings::read(&doubled).expect_err("a duplicate name");
        let duplicate = errors.iter().find(|e| e.message.contains("duplicate name")).expect("reported");
        assert_eq!(
            (duplicate.line as usize, duplicate.message.as_str()),
            (place, format!("duplicate name `{first}`").as_str())
        );
    }
}
