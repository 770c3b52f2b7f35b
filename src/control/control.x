/* Protocol between operators and a proxy (docs/design.md, section 11).
   Procedures that return a table encode it as rows of strings, the column
   names first, so that new tables and columns need no new message types. */

const CONTROL_NAME_MAX = 64;
const CONTROL_TEXT_MAX = 60000;
const CONTROL_COLUMNS_MAX = 32;
const CONTROL_ROWS_MAX = 2048;
const CONTROL_MESSAGE_MAX = 1024;

typedef string control_cell<CONTROL_TEXT_MAX>;

struct control_row {
    control_cell cells<CONTROL_COLUMNS_MAX>;
};

/* offset is the number of data rows to skip; it continues a table that did not
   fit into one record. */
struct control_table_request {
    string argument<CONTROL_NAME_MAX>;
    unsigned int offset;
};

/* The first row holds the column names. next is the offset of the following
   part, or 0 in the last part. If code is not 0, there are no rows and message
   says why. */
struct control_table_answer {
    unsigned int code;
    string message<CONTROL_MESSAGE_MAX>;
    control_row rows<CONTROL_ROWS_MAX>;
    unsigned int next;
};

struct control_ticket_submission {
    string author<CONTROL_NAME_MAX>;
    string text<CONTROL_TEXT_MAX>;
};

struct control_log_level {
    string level<CONTROL_NAME_MAX>;
};

struct control_result {
    unsigned int code;
    string message<CONTROL_MESSAGE_MAX>;
};

program CONTROL_PROGRAM {
    version CONTROL_VERSION {
        control_table_answer CONTROL_STATUS(control_table_request) = 1;
        control_table_answer CONTROL_MEMBERS(control_table_request) = 2;
        control_table_answer CONTROL_COUNTERS(control_table_request) = 3;
        control_result CONTROL_TICKET_SUBMIT(control_ticket_submission) = 4;
        control_table_answer CONTROL_TICKET_LIST(control_table_request) = 5;
        control_table_answer CONTROL_TICKET_SHOW(control_table_request) = 6;
        control_table_answer CONTROL_COST(control_table_request) = 7;
        control_result CONTROL_DRAIN(void) = 8;
        control_result CONTROL_LOG_LEVEL(control_log_level) = 9;
    } = 1;
} = 0x20673702;
