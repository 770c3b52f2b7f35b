/* The messages by which proxies request permits from witnesses; limit_message.h
   describes the fields. A datagram begins with its version, so that a later
   version may change everything that follows. */
const LIMIT_WIRE_VERSION = 1;

enum limit_wire_kind {
    LIMIT_WIRE_REQUEST = 1,
    LIMIT_WIRE_REPLY = 2
};

struct limit_wire_wanted {
    unsigned hyper account;
    unsigned int wanted;
};

struct limit_wire_granted {
    unsigned hyper account;
    unsigned int granted;
    unsigned int next_ms;
};

struct limit_wire_request {
    string from<63>;
    unsigned hyper incarnation;
    unsigned hyper id;
    limit_wire_wanted items<64>;
};

struct limit_wire_reply {
    string from<63>;
    unsigned hyper incarnation;
    unsigned hyper id;
    unsigned hyper witnesses;
    unsigned int witness_count;
    int listed_ms;
    limit_wire_granted items<64>;
};

union limit_wire_body switch (limit_wire_kind kind) {
case LIMIT_WIRE_REQUEST:
    limit_wire_request request;
case LIMIT_WIRE_REPLY:
    limit_wire_reply reply;
};

struct limit_wire_message {
    unsigned int wire_version;
    limit_wire_body body;
};
