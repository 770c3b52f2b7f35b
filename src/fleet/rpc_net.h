#ifndef FLEET_RPC_NET_H
#define FLEET_RPC_NET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/* Socket functions. Hosts are numeric IP addresses: resolving a name would
   block. */
#define RPC_ADDRESS_BYTES 64

int rpc_net_listen(const char *host, uint16_t port, char **error);
int rpc_net_connect(const char *host, uint16_t port);
uint16_t rpc_net_port(int fd);
void rpc_net_format(const struct sockaddr_storage *sa,
                    char out[RPC_ADDRESS_BYTES]);
bool rpc_net_split(const char *address, char host[RPC_ADDRESS_BYTES],
                   uint16_t *port);
uint64_t rpc_wall_ms(void);

#endif
