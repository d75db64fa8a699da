package fleet

import (
	"context"
	"net/http"
	"sort"
	"time"

	"fescuelatch"
)

// This file defines updates of the platform's list of VMs.

// list is the JSON body of the list of VMs.
type list struct {
	VMs []fescuelatch.ListedVM `json:"vms"`
}

// listAll lists all VMs and endpoints of the inventory.
func (f *Fleet) listAll(ctx context.Context) error {
	f.mu.Lock()
	now := time.Now().UTC()
	for _, m := range f.Configuration.Inventory.VMs {
		f.listed[string(m.ID)] = fescuelatch.ListedVM{ID: string(m.ID), State: fescuelatch.ListedLive, Started: now}
	}
	for _, e := range f.Configuration.Inventory.Endpoints {
		f.listed[string(e.ID)] = fescuelatch.ListedVM{ID: string(e.ID), State: fescuelatch.ListedLive, Started: now}
	}
	f.mu.Unlock()
	return f.postList(ctx)
}

// list adds a VM or endpoint, or changes its state.
func (f *Fleet) list(ctx context.Context, id string, s fescuelatch.ListedVMState) error {
	f.mu.Lock()
	v, ok := f.listed[id]
	if !ok {
		v = fescuelatch.ListedVM{ID: id, Started: time.Now().UTC()}
	}
	v.State = s
	f.listed[id] = v
	f.mu.Unlock()
	return f.postList(ctx)
}

// unlist removes a VM or endpoint.
func (f *Fleet) unlist(ctx context.Context, id string) error {
	f.mu.Lock()
	delete(f.listed, id)
	f.mu.Unlock()
	return f.postList(ctx)
}

func (f *Fleet) postList(ctx context.Context) error {
	f.mu.Lock()
	var l list
	for _, v := range f.listed {
		l.VMs = append(l.VMs, v)
	}
	f.mu.Unlock()
	sort.Slice(l.VMs, func(i, j int) bool { return l.VMs[i].ID < l.VMs[j].ID })
	return f.call(ctx, http.MethodPost, "http://"+f.addresses.vms.String()+"/vms", l, nil)
}
