// Package vmlist reads the platform's list of live and leaving VMs, which may lag.
package vmlist

import (
	"context"
	"net/http"

	"fescuelatch"
	"fescuelatch/internal/httpjson"
)

// Client reads the list. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// URL is the list's base URL without a trailing slash.
	URL string
}

var _ fescuelatch.VMList = (*Client)(nil)

type list struct {
	VMs []fescuelatch.ListedVM `json:"vms"`
}

// VMs implements fescuelatch.VMList.
func (c *Client) VMs(ctx context.Context) ([]fescuelatch.ListedVM, error) {
	var l list
	if err := httpjson.Get(ctx, c.HTTP, "list VMs", c.URL+"/vms", &l); err != nil {
		return nil, err
	}
	return l.VMs, nil
}
