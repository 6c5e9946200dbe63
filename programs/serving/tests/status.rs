//! Parsing and rendering of a controller's status.

use whinspindle_serving::status::Status;

const STATUS: &str = r#"{"node":"core-1","in_quorum":1,"leaving":0,"pending_orders":0,"committed_sequence":12,
"generation":7,"instances":3,"view":4,"chain":["10.0.0.1:7000","10.0.0.3:7000"],
"voters":["10.0.0.1:7000","10.0.0.2:7000","10.0.0.3:7000"],"peers":[],"balancers":[{"node":"edge-1"}]}"#;

#[test]
fn members_are_rendered_with_their_chain_position() {
    let status = Status::parse(STATUS).unwrap();
    let expected = "core-1: in a quorum, view 4, generation 7, committed up to 12\n\
                    10.0.0.1:7000  head\n\
                    10.0.0.2:7000  not in the chain\n\
                    10.0.0.3:7000  tail";
    assert_eq!(status.render_members(), expected);
}

#[test]
fn truncated_status_is_rejected() {
    assert!(Status::parse(&STATUS[..40]).is_err());
    assert!(Status::parse("").is_err());
}
