package kv

import "time"

// This file defines leases.

// lease is a lease and the keys bound to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

func (s *store) detachLease(key string, id number) {
	if l := s.leases[int64(id)]; l != nil {
		delete(l.keys, key)
	}
}

// grant creates a lease.
func (s *store) grant(r *grantRequest, now time.Time) (*leaseResponse, error) {
	if r.TTL <= 0 {
		return nil, &Error{Op: "lease", Kind: KindInvalid, Message: "lease TTL must be above 0"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(r.ID)
	if id == 0 {
		s.nextID++
		id = s.nextID
	}
	if s.leases[id] != nil {
		return nil, &Error{Op: "lease", Kind: KindInvalid, Message: "lease already exists"}
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl), keys: make(map[string]bool)}
	return &leaseResponse{Header: s.header(), ID: number(id), TTL: r.TTL}, nil
}

// keepAlive renews a lease. As in etcd, an absent lease is not an error: the
// response has no TTL.
func (s *store) keepAlive(id number, now time.Time) *leaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[int64(id)]
	if l == nil || now.After(l.expires) {
		return &leaseResponse{Header: s.header(), ID: id}
	}
	l.expires = now.Add(l.ttl)
	return &leaseResponse{Header: s.header(), ID: id, TTL: number(l.ttl / time.Second)}
}

// revoke removes a lease and deletes its keys.
func (s *store) revoke(id number) (*leaseResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[int64(id)] == nil {
		return nil, &Error{Op: "lease", Kind: KindNotFound, Message: "requested lease not found"}
	}
	s.removeLease(int64(id))
	return &leaseResponse{Header: s.header()}, nil
}

// expire removes the leases that have expired.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *store) removeLease(id int64) {
	l := s.leases[id]
	delete(s.leases, id)
	for k := range l.keys {
		s.deleteSpan(span{key: []byte(k)}, s.revision+1)
	}
	s.commit()
}
