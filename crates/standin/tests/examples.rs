//! Checks the example settings against the deployments that they describe.

use std::path::Path;

use amaranth_settings::fleet::FleetSettings;

fn load(name: &str) -> FleetSettings {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let loaded = FleetSettings::load(&root.join(name));
    loaded.unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn example_settings_describe_both_deployments() {
    type Group = (&'static str, usize, bool);
    type Tier = (&'static str, &'static str, bool, bool);
    let cases: [(&str, usize, [Group; 2], [Tier; 3]); 2] = [
        (
            "solarmapa.jsonc",
            4,
            [("sketch-llm", 10, true), ("sketch-store", 5, false)],
            [
                ("shading", "sketch-llm", true, false),
                ("lots", "sketch-llm", true, true),
                ("sketches", "sketch-store", true, false),
            ],
        ),
        (
            "harrowgate.jsonc",
            3,
            [("matchmaker", 20, false), ("floor-desk", 3, true)],
            [
                ("introductions", "matchmaker", true, false),
                ("summaries", "matchmaker", true, true),
                ("booking", "floor-desk", false, false),
            ],
        ),
    ];
    for (file, data_centres, groups, tiers) in cases {
        let fleet = load(file);
        assert_eq!(fleet.data_centres.len(), data_centres, "{file}");
        assert_eq!(fleet.instances.len(), 12, "{file}");
        let found = fleet.upstreams.iter();
        let found: Vec<_> = found
            .map(|g| (g.name.as_str(), g.count, g.checks_fencing))
            .collect();
        assert_eq!(found, groups, "{file}");
        let found = fleet.tiers.iter();
        let found: Vec<_> = found
            .map(|t| (t.name.as_str(), t.upstreams.as_str(), t.repeatable, t.batch))
            .collect();
        assert_eq!(found, tiers, "{file}");
        let spread = fleet.upstreams[0].upstreams();
        assert!(spread.iter().any(|a| a.speed != spread[0].speed), "{file}");
    }
}
