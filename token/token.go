package token

import (
	"time"

	"fescuelatch"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pkg/errors"
)

// This file defines the claims of a session token, its signing and its
// verification.

// Claims are the claims of a token. Issued has a resolution of one second.
type Claims struct {
	Account fescuelatch.AccountID
	Version fescuelatch.VersionID
	Session string
	Issued  time.Time
}

// wireClaims is the payload of a token.
type wireClaims struct {
	Account fescuelatch.AccountID `json:"account"`
	Version fescuelatch.VersionID `json:"version"`
	jwt.RegisteredClaims
}

// MaxBytes is the maximum length of a token.
const MaxBytes = 4096

var signingMethod = jwt.SigningMethodHS256

// Sign returns a token for c, signed with the first key.
func (r Ring) Sign(c Claims) (string, error) {
	if len(r.keys) == 0 {
		return "", &Error{Op: "sign", Kind: KindUnknownKey}
	}
	if err := c.check(); err != nil {
		return "", &Error{Op: "sign", Kind: KindMalformed, Err: err}
	}
	t := jwt.NewWithClaims(signingMethod, wireClaims{
		Account: c.Account,
		Version: c.Version,
		RegisteredClaims: jwt.RegisteredClaims{
			ID:       c.Session,
			IssuedAt: jwt.NewNumericDate(c.Issued),
		},
	})
	t.Header["kid"] = r.keys[0].id
	s, err := t.SignedString([]byte(r.keys[0].secret.Expose()))
	if err != nil {
		return "", &Error{Op: "sign", Kind: KindMalformed, Err: err}
	}
	if len(s) > MaxBytes {
		return "", &Error{Op: "sign", Kind: KindMalformed, Err: errors.Errorf("token exceeds %d bytes", MaxBytes)}
	}
	return s, nil
}

// Verify returns the claims of a token that account presents. The caller
// decides whether the version still receives work.
func (r Ring) Verify(s string, account fescuelatch.AccountID) (Claims, error) {
	if len(s) > MaxBytes {
		return Claims{}, &Error{Op: "verify", Kind: KindMalformed}
	}
	var w wireClaims
	if _, err := parser.ParseWithClaims(s, &w, r.verificationKey); err != nil {
		return Claims{}, &Error{Op: "verify", Kind: kindOf(err)}
	}
	c := w.claims()
	if err := c.check(); err != nil {
		return Claims{}, &Error{Op: "verify", Kind: KindMalformed, Err: err}
	}
	if c.Account != account {
		return Claims{}, &Error{Op: "verify", Kind: KindOtherAccount}
	}
	return c, nil
}

// parser does not validate times: a session lasts as long as its version, so
// that a token has no expiry.
var parser = jwt.NewParser(
	jwt.WithValidMethods([]string{signingMethod.Alg()}),
	jwt.WithoutClaimsValidation(),
	jwt.WithStrictDecoding(),
)

var errUnknownKey = errors.New("unknown key")

// verificationKey returns the secret of the key that t names.
func (r Ring) verificationKey(t *jwt.Token) (any, error) {
	id, _ := t.Header["kid"].(string)
	k := r.findKey(id)
	if k == nil {
		return nil, errUnknownKey
	}
	return []byte(k.secret.Expose()), nil
}

func kindOf(err error) ErrorKind {
	switch {
	case errors.Is(err, errUnknownKey):
		return KindUnknownKey
	case errors.Is(err, jwt.ErrTokenSignatureInvalid):
		return KindBadSignature
	default:
		return KindMalformed
	}
}

func (w *wireClaims) claims() Claims {
	c := Claims{Account: w.Account, Version: w.Version, Session: w.ID}
	if w.IssuedAt != nil {
		c.Issued = w.IssuedAt.UTC()
	}
	return c
}

// check returns an error that names the first missing claim.
func (c Claims) check() error {
	switch {
	case c.Account == "":
		return errors.New("no account")
	case c.Version == "":
		return errors.New("no version")
	case c.Session == "":
		return errors.New("no session")
	case c.Issued.IsZero():
		return errors.New("no time of issue")
	}
	return nil
}
