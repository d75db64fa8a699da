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

// The first version that a session is bound to stays, whichever daemon is
// asked.
func ExampleStore() {
	kv := new(memory.KV)
	id := session.Session{Account: "musanze-desk", ID: "thread-17"}
	for _, wish := range []fescuelatch.VersionID{"triage-small@7", "triage-small@8"} {
		daemon := &session.Store{Submitter: keyvalue.Direct{Transactor: kv}, Granter: kv, Now: time.Now}
		v, err := daemon.Bind(context.Background(), id, wish)
		fmt.Println("wish", wish, "bound to", v, err)
	}
	// Output:
	// wish triage-small@7 bound to triage-small@7 <nil>
	// wish triage-small@8 bound to triage-small@7 <nil>
}
