//! Reading the settings file again while the agent runs.

use std::fs;

use whinspindle_agent::settings_file::read_seeds;

#[test]
fn seeds_are_read_from_the_settings_file() {
    let path = std::env::temp_dir().join(format!("whinspindle-settings-{}.json", std::process::id()));
    assert_eq!(read_seeds(&path), None, "there is no file");
    let settings = |seeds: &str| {
        format!(
            r#"{{"node":"n","ip":"10.0.0.1","zone":"a","region":"north","port_range":[7700,7710],"seeds":{seeds}}}"#
        )
    };
    fs::write(&path, settings(r#"["10.0.0.2:8166","10.0.0.3:8166"]"#)).unwrap();
    let endpoints = ["10.0.0.2:7700", "10.0.0.3:7700"].map(|endpoint| endpoint.parse().unwrap());
    assert_eq!(read_seeds(&path), Some(endpoints.to_vec()));
    fs::write(&path, settings(r#"["10.0.0.4:8166""#)).unwrap();
    assert_eq!(read_seeds(&path), None, "it is being written");
    fs::remove_file(&path).unwrap();
}
