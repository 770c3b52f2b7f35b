/* The message that proxies send each other about the view. */
struct wire_position {
    unsigned int index;
    unsigned hyper term;
    unsigned hyper number;
    hyper age_ms;
};

struct wire_lead {
    string service<63>;
    string primary<63>;
    unsigned hyper epoch;
    unsigned hyper term;
    bool changing;
};

struct wire_note {
    string from<63>;
    unsigned hyper incarnation;
    hyper sent_at;
    hyper echo;
    unsigned hyper echo_of;
    unsigned hyper acted;
    unsigned hyper known;
    unsigned hyper unreachable<16>;
    unsigned hyper configuration;
    unsigned hyper roster;
    unsigned hyper silent<8>;
    bool leaving;
    bool store_lost;
    bool reply;
    wire_position positions<32>;
    bool has_changes;
    unsigned hyper since;
    string holder<63>;
    unsigned hyper fence;
    wire_lead changes<32>;
};
