package peer

import (
	"io"
	"net/http"
	"net/rpc"

	"github.com/gorilla/mux"

	"fescuelatch/fleetkey"
	"fescuelatch/keyvalue"
)

// This file defines the listener's handlers.

const (
	rpcPath      = "/rpc"
	rpcConnected = "HTTP/1.0 200 connected\r\n\r\n"
	// serviceName is short because each call and reply carries it.
	serviceName = "P"
)

// Handler serves the calls of other daemons. Its methods must be safe for
// concurrent use.
type Handler interface {
	Heartbeat(h *Heartbeat, reply *HeartbeatReply) error
	Changes(r *ChangesRequest, reply *ChangesReply) error
	Hold(b *BillBatch, reply *Ack) error
	Written(w *BillsWritten, reply *Ack) error
	Submit(r *SubmitRequest, reply *keyvalue.SubmitReply) error
}

// NewHandler returns the HTTP handler for other daemons. net/rpc calls go to h,
// and requests below ForwardPath go to forward without that prefix. t counts
// the bytes of calls, not those of forwarded requests.
func NewHandler(keys fleetkey.Keys, h Handler, forward http.Handler, t Traffic) (http.Handler, error) {
	s := rpc.NewServer()
	if err := s.RegisterName(serviceName, &linkHandler{Handler: h}); err != nil {
		return nil, &Error{"register", KindInvalid, err}
	}
	m := mux.NewRouter()
	m.Methods(http.MethodConnect).Path(rpcPath).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serveConn(s, w, t)
	})
	m.PathPrefix(ForwardPath).Handler(http.StripPrefix(ForwardPath, forward))
	m.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := keys.Check(r.Header); err != nil {
				http.Error(w, "fleet key required", http.StatusUnauthorized)
				return
			}
			next.ServeHTTP(w, r)
		})
	})
	return m, nil
}

// serveConn serves the calls of one connection until it closes.
func serveConn(s *rpc.Server, w http.ResponseWriter, t Traffic) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, rpcConnected); err != nil {
		_ = conn.Close()
		return
	}
	s.ServeConn(t.Count(conn))
}
