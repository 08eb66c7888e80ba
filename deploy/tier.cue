// An operator's own file: dispatchers that keep quotas together. `serve --operator FILE` switches it on;
// the platform's `run` does not, as dispatchers may not talk there. docs/cluster.md says what each field does.
tier: {
    key: "000102030405060708090a0b0c0d0e0f" // hex, 16 to 64 bytes; the fleet's secret, replace it
    lease_ms: 4000
    period_ms: 200
    members: [
        {name: "toy", address: "127.0.0.1:7100"},
        {name: "n1", address: "127.0.0.1:7101"},
        {name: "n2", address: "127.0.0.1:7102"},
    ]
}
quotas: """
    quota bulk-lists {
        per    team
        count  report
        limit  1200 in 60s  burst 200
        apart  15%          # of the limit, for all that hear nothing, together
        over   refuse
    }
    """
