package session_test

import (
	"context"
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
	"fescuelatch/session"
)

// A session keeps the first version that it is bound to, at every daemon.
func ExampleStore() {
	kv := new(memory.KV)
	id := session.Session{Account: "musanze-desk", ID: "thread-17"}
	for _, requested := range []fescuelatch.VersionID{"triage-small@7", "triage-small@8"} {
		daemon := &session.Store{Submitter: keyvalue.Direct{Transactor: kv}, Granter: kv, Now: time.Now}
		v, err := daemon.Bind(context.Background(), id, requested)
		fmt.Println("requested", requested, "bound to", v, err)
	}
	// Output:
	// requested triage-small@7 bound to triage-small@7 <nil>
	// requested triage-small@8 bound to triage-small@7 <nil>
}
