package direct

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"

	"fescuelatch"
)

// This file defines the fingerprints of callers' requests.

// fingerprintBytes is how much of a hash identifies a request. No caller can construct a
// request with the fingerprint of another one.
const fingerprintBytes = 16

// fingerprint returns a hash of what a request asks for: its method, host, path, query, client
// account and body, which may come in parts. The same request has the same one at any daemon, whatever its identifier.
func fingerprint(account fescuelatch.AccountID, r *http.Request, body ...[]byte) string {
	return hashRequest(account, r, r.RequestURI, body)
}

// querylessFingerprint returns the same without the query, or "" if there is no query or no
// body: requests with a number or a time in the query, which differs each time, do the same
// if their bodies are equal.
func querylessFingerprint(account fescuelatch.AccountID, r *http.Request, body ...[]byte) string {
	path, _, ok := strings.Cut(r.RequestURI, "?")
	if !ok || len(body) == 0 || len(body[0]) == 0 {
		return ""
	}
	// No target has a zero byte, so that the hash is none of a whole request.
	return hashRequest(account, r, path+"\x00?", body)
}

func hashRequest(account fescuelatch.AccountID, r *http.Request, target string, body [][]byte) string {
	host, _, _ := strings.Cut(r.Host, ":")
	h := sha256.New()
	// Writes to a hash do not fail.
	_, _ = io.WriteString(h, strings.Join([]string{string(account), r.Method, strings.ToLower(host), target, ""}, "\x00"))
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
