// Package msgpackrpc serves clients that speak MessagePack-RPC over TCP. Each request gets one response.
//
// # Protocol
//
// Messages are those of MessagePack-RPC: requests [0, id, method, params], responses [1, id, error, result] and
// notifications [2, method, params]. The client chooses message IDs that are unique among its open requests on a connection.
//
//   - "ping" asks whether the server is ready. It is answered immediately.
//   - Any other method is the name of a workload class. Its params are a map of fields (see FieldNames) and the statement.
//   - The notification "abort" cancels requests by message ID. They get no response.
//   - The server sends the notification "wait" for a request that asked for an estimate of its waiting time.
//
// Anything else in a message is skipped. A message that cannot be parsed ends its connection after the open requests on it
// have been answered.
//
// # Goroutines and locks
//
// Each connection has one goroutine that reads (serve), one that writes (writeLoop) and one for each open request, in
// Handler.Serve. Server.mu guards the set of connections, conn.mu the state of one connection. Server.mu is locked before
// conn.mu. Neither is held during network I/O.
package msgpackrpc
