package configstore_test

import (
	"context"
	"errors"
	"fmt"

	"fescuelatch"
	"fescuelatch/configstore"
	"fescuelatch/keyvalue/memory"
)

// Two operators propose changes to the same generation. The second one gets a
// conflict that names the accepted change.
func ExampleStore_Propose() {
	ctx := context.Background()
	s := &configstore.Store{KV: new(memory.KV)}
	base, _ := s.Load(ctx)
	for _, operator := range []string{"aline", "brid"} {
		next := *base
		next.Inventory.Models = []fescuelatch.Model{{ID: fescuelatch.ModelID("model-of-" + operator)}}
		change := fescuelatch.Diff(base, &next)
		change.ID, change.Author = fescuelatch.ChangeID("change-of-"+operator), operator
		current, err := s.Propose(ctx, &change)
		var e *configstore.Error
		switch {
		case err == nil:
			fmt.Println("accepted as generation", current.Generation)
		case errors.As(err, &e) && e.Kind == configstore.KindConflict:
			fmt.Println("conflict with", e.Winner.ID, "by", e.Winner.Author)
		}
	}
	// Output:
	// accepted as generation 1
	// conflict with change-of-aline by aline
}
