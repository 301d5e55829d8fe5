// Package msgpackrpc serves clients that speak MessagePack-RPC over TCP: a request in, one response out.
//
// # Protocol
//
// Messages are those of MessagePack-RPC: requests [0, id, method, params], responses [1, id, error, result] and
// notifications [2, method, params]. The client picks the ids, unique among its open requests on a connection.
//
//   - "ping" asks whether the server is ready, which is answered at once.
//   - Any other method is the name of a workload class; its params are a map of fields (see FieldNames) and the
//     statement.
//   - The notification "abort" cancels requests by their ids: they get no response.
//   - The server sends the notification "wait" to a request that asked how long it will wait.
//
// What a message holds beyond that is skipped. A message that cannot be parsed ends its connection, after the responses
// that are due on it.
//
// # Goroutines and locks
//
// Each connection has one goroutine that reads (serve), one that writes (writeLoop) and one for each open request, in
// Handler.Serve. Server.mu guards the set of connections, conn.mu the state of one; Server.mu is taken first. Neither is
// held while something is written or read.
package msgpackrpc
