// Package rating is a client of the service that rates answers.
package rating

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/httpjson"
)

// Client calls the rating service. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// URL is the service's base URL without a trailing slash.
	URL string
}

var _ fescuelatch.Rater = (*Client)(nil)

type request struct {
	Version fescuelatch.VersionID `json:"version"`
	Prompt  string                `json:"prompt"`
	Answer  string                `json:"answer"`
}

type response struct {
	Score *float64 `json:"score"`
}

// Rate implements fescuelatch.Rater.
func (c *Client) Rate(ctx context.Context, v fescuelatch.VersionID, prompt, answer string) (float64, error) {
	const op = "rate"
	var r response
	if err := httpjson.Post(ctx, c.HTTP, op, c.URL+"/ratings", request{v, prompt, answer}, &r); err != nil {
		return 0, err
	}
	if r.Score == nil || *r.Score < 0 || *r.Score > 1 {
		return 0, &httpjson.Error{Op: op, Kind: httpjson.KindInvalid, Err: errors.New("score is not within 0 to 1")}
	}
	return *r.Score, nil
}
