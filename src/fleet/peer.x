/* Messages between proxies (docs/design.md, section 11). rpcgen writes
   peer_xdr.h and peer_xdr.c from this file; see scripts/generate-xdr.sh. The
   field id of a message is the id of the sending proxy. */

const PEER_NAME_MAX = 64;
const PEER_ADDRESS_MAX = 63;
const PEER_UPDATES_MAX = 64;
const PEER_PUSH_TEXT_MAX = 60000;
const PEER_USAGE_MAX = 256;
const PEER_SECRET_MAX = 64;

/* Number of the highest accepted ticket and a hash over all accepted ones. */
struct peer_digest {
    unsigned hyper highest_ticket;
    unsigned hyper hash;
};

/* Sent with updates about members that the receiver may not know yet. */
struct peer_details {
    string name<PEER_NAME_MAX>;
    string domain<PEER_NAME_MAX>;
    string address<PEER_ADDRESS_MAX>;
};

/* What the sender of a heartbeat reports about the member with this id. */
struct peer_update {
    unsigned int id;
    unsigned int incarnation;
    unsigned int phase;
    peer_details *details;
};

/* Introduces the caller and the called proxy to each other, so that later
   heartbeats need not contain their names. */
struct peer_hello {
    unsigned int id;
    unsigned int incarnation;
    peer_details details;
    string release<PEER_NAME_MAX>;
};

/* name and domain are empty if the receiver already has them. view_hash is a
   hash over the sender's member list. timestamp is the lower half of the
   sender's clock in milliseconds. echoed_timestamp is the receiver's latest
   timestamp that the sender has received, or 0; the report was made after that
   time on the receiver's clock. */
struct peer_heartbeat {
    unsigned int id;
    unsigned int incarnation;
    string name<PEER_NAME_MAX>;
    string domain<PEER_NAME_MAX>;
    unsigned int phase;
    peer_digest tickets;
    unsigned hyper view_hash;
    unsigned int timestamp;
    unsigned int echoed_timestamp;
    peer_update updates<PEER_UPDATES_MAX>;
};

struct peer_probe {
    unsigned int id;
    unsigned int target;
};

struct peer_probe_answer {
    bool reached;
};

/* wanted is the total for the member, including what the sender already holds.
   member is the index of the database member in decimal. */
struct peer_loan_request {
    unsigned hyper request_id;
    unsigned int id;
    string database<PEER_NAME_MAX>;
    string member<PEER_NAME_MAX>;
    unsigned int wanted;
    bool batch;
};

struct peer_loan_answer {
    unsigned int granted;
    unsigned int lease_ms;
};

/* count is what the sender still holds, not what it returns (kept in struct
   loan_return). member is the index of the database member in decimal. */
struct peer_loan_return {
    unsigned hyper request_id;
    unsigned int id;
    string database<PEER_NAME_MAX>;
    string member<PEER_NAME_MAX>;
    unsigned int count;
    bool batch;
};

struct peer_ticket {
    unsigned int id;
    string text<PEER_PUSH_TEXT_MAX>;
};

/* Requests the tickets that the sender lacks, by the digest of those that it
   has. The receiver sends them with TICKET_PUSH. */
struct peer_ticket_pull {
    unsigned int id;
    unsigned hyper highest;
    unsigned hyper count;
    unsigned hyper hash;
    bool full;
};

struct peer_usage_row {
    string database<PEER_NAME_MAX>;
    string kind<PEER_NAME_MAX>;
    unsigned hyper statements;
    unsigned hyper execution_us;
    unsigned hyper bytes;
    unsigned hyper retries;
};

struct peer_usage {
    unsigned int id;
    unsigned hyper period_start_ms;
    unsigned int period_ms;
    peer_usage_row rows<PEER_USAGE_MAX>;
};

/* The process id and the secret of a PostgreSQL cancel request. The secret is
   in the byte order of the sender. */
struct peer_cancel {
    unsigned int process_id;
    opaque secret_bytes<PEER_SECRET_MAX>;
};

/* The sender starts a planned switch of the database's primary. */
struct peer_switching {
    string database<PEER_NAME_MAX>;
};

/* A reply without data. code 0 is success. */
struct peer_ack {
    unsigned int code;
};

program PEER_PROGRAM {
    version PEER_VERSION {
        peer_hello PEER_HELLO(peer_hello) = 1;
        peer_heartbeat PEER_HEARTBEAT(peer_heartbeat) = 2;
        peer_loan_answer PEER_LOAN_REQUEST(peer_loan_request) = 3;
        peer_ack PEER_LOAN_RETURN(peer_loan_return) = 4;
        peer_ack PEER_TICKET_PUSH(peer_ticket) = 5;
        peer_ack PEER_TICKET_PULL(peer_ticket_pull) = 6;
        peer_ack PEER_USAGE(peer_usage) = 7;
        peer_ack PEER_CANCEL_FORWARD(peer_cancel) = 8;
        peer_ack PEER_SWITCHING(peer_switching) = 9;
        peer_probe_answer PEER_PROBE(peer_probe) = 10;
    } = 1;
} = 0x20673701;
