package token_test

import (
	"fmt"
	"time"

	"fescuelatch/token"
)

func ExampleRing_Verify() {
	old, _ := token.ParseRing("2026-a:an-example-secret")
	s, _ := old.Sign(token.Claims{
		Account: "desk",
		Version: "triage@3",
		Session: "thread-17",
		Issued:  time.Date(2026, 3, 2, 5, 0, 0, 0, time.UTC),
	})
	rotated, _ := token.ParseRing("2026-b:another-example-secret,2026-a:an-example-secret")
	c, err := rotated.Verify(s, "desk")
	fmt.Println(c.Version, err)
	_, err = rotated.Verify(s, "grants")
	fmt.Println(err)
	fmt.Println(rotated)
	// Output:
	// triage@3 <nil>
	// verify: other-account
	// ring[2026-b 2026-a]
}
