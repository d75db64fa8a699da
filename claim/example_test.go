package claim_test

import (
	"context"
	"fmt"
	"time"

	"fescuelatch"
	"fescuelatch/claim"
	"fescuelatch/keyvalue"
	"fescuelatch/keyvalue/memory"
)

// A ban is claimed, dispatched once and recorded. Its repeat gets the recorded
// answer and is not dispatched.
func ExampleClaimer() {
	kv := new(memory.KV)
	c := &claim.Claimer{Submitter: keyvalue.Direct{Transactor: kv}, Granter: kv, Now: time.Now}
	ctx := context.Background()
	r := claim.Request{
		Account: "musanze-desk", Key: "ban-4711", Fingerprint: claim.Fingerprint([]byte(`{"user":"4711"}`)),
		Claimant: "first arrival", Deadline: time.Now().Add(time.Minute),
	}
	first, err := c.Claim(ctx, r)
	if err != nil {
		fmt.Println("not run:", err)
		return
	}
	if first.Dispatch() {
		fmt.Println("sent to the endpoint")
		_ = first.Finish(ctx, fescuelatch.OutcomeAnswered, &claim.Answer{Status: 200, Body: []byte("banned")})
	}
	r.Claimant = "second arrival"
	second, err := c.Claim(ctx, r)
	if err != nil {
		fmt.Println("not run:", err)
		return
	}
	fmt.Println(second.State, string(second.Answer.Body), second.Dispatch())
	// Output:
	// sent to the endpoint
	// finished banned false
}
