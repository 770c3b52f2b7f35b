/* The message that proxies exchange about the view; struct agreement_message
   describes the fields. log_position and view_version are its position and
   version. */
struct wire_position {
    unsigned int index;
    unsigned hyper term;
    unsigned hyper log_position;
    hyper age_ms;
};

struct wire_entry {
    string service<63>;
    string primary<63>;
    string ordered<63>;
    unsigned hyper ordered_set;
    unsigned hyper epoch;
    unsigned hyper term;
    bool changing;
};

/* Bits of `flags`. */
const WIRE_LEAVING = 1;
const WIRE_STORE_LOST = 2;
const WIRE_REPLY = 4;

/* Left out while all of them are empty. */
struct wire_details {
    unsigned hyper unreachable<16>;
    unsigned hyper silent<8>;
    wire_position positions<32>;
};

/* Left out unless the receiver lacks the view. */
struct wire_changes {
    unsigned hyper base_version;
    string holder<63>;
    unsigned hyper fence;
    wire_entry entries<32>;
};

struct wire_message {
    string from<63>;
    unsigned hyper incarnation;
    hyper sent_at;
    hyper echo;
    unsigned hyper echo_incarnation;
    unsigned hyper applied;
    unsigned hyper view_version;
    unsigned hyper catalog_version;
    unsigned hyper registry_hash;
    unsigned int flags;
    wire_details *details;
    wire_changes *changes;
};

/* Follows a message if it has something to tell; earlier builds ignore it. The
   length is that of what follows the length itself. Later formats only add
   fields at the end, which a reader skips that does not know them. */
const WIRE_TRAILER_FORMAT = 1;

struct wire_trailer {
    unsigned int length;
    unsigned int format;
    unsigned int catalog_age_ms; /* the highest number: none */
};

/* The next field of the trailer, left out if it is 0. */
struct wire_members {
    unsigned hyper members_version;
};
