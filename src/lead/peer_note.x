/* The message that proxies send each other about the view. */
struct wire_position {
    unsigned hyper term;
    unsigned hyper number;
    hyper age_ms;
};

struct wire_note {
    string from<63>;
    unsigned hyper incarnation;
    hyper sent_at;
    hyper echo;
    unsigned hyper echo_of;
    unsigned hyper acted;
    unsigned hyper known;
    unsigned hyper unreachable;
    unsigned hyper configuration;
    unsigned hyper roster;
    unsigned hyper silent<8>;
    bool leaving;
    bool reply;
    wire_position positions<32>;
    string view<6000>;
};
