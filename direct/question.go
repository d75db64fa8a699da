package direct

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"fescuelatch"
)

// This file defines questions: descriptions of a request of which an operator asks where it
// would go.

// Question describes a request. Route, Service, or Host and Path select the route.
type Question struct {
	Route   fescuelatch.RouteID   `json:"route,omitempty"`
	Service fescuelatch.ServiceID `json:"service,omitempty"`
	Host    string                `json:"host,omitempty"`
	Path    string                `json:"path,omitempty"`
	// Account is the client account; none is needed on public routes.
	Account fescuelatch.AccountID `json:"account,omitempty"`
	// Model, if set, is the only one of the route's models that may answer.
	Model fescuelatch.ModelID `json:"model,omitempty"`
	// Session is the caller's session, if any.
	Session string `json:"session,omitempty"`
	// PromptTokens are those of Parts if zero.
	PromptTokens int            `json:"prompt-tokens,omitempty"`
	OutputTokens int            `json:"output-tokens,omitempty"`
	Parts        []QuestionPart `json:"parts,omitempty"`
	// BodyBytes is the length of the body.
	BodyBytes int `json:"body-bytes,omitempty"`
	// Fingerprint is that of an earlier request, as logged, if the question is of its repeat.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// QuestionPart is a leading part of the prompt.
type QuestionPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Bounds of a question.
const (
	maxQuestionBytes = 64 << 10
	maxQuestionParts = 256
	maxQuestionCount = 1 << 30
)

// UnmarshalJSON implements json.Unmarshaler and checks the decoded question.
func (q *Question) UnmarshalJSON(b []byte) error {
	type plain Question
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode((*plain)(q)); err != nil {
		return &Error{"decode question", KindInvalid, errors.WithStack(err)}
	}
	return q.Check()
}

// Check reports the first field that cannot be used.
func (q *Question) Check() error {
	selected := 0
	for _, set := range []bool{q.Route != "", q.Service != "", q.Host != "" || q.Path != ""} {
		if set {
			selected++
		}
	}
	switch {
	case selected == 0:
		return badField("route", "is missing, as are service, and host and path")
	case selected > 1:
		return badField("route", "only one of route, service, and host and path may be given")
	case q.Path != "" && q.Host == "":
		return badField("host", "is missing")
	case q.Host != "" && !strings.HasPrefix(q.Path, "/"):
		return badField("path", "does not begin with a slash")
	case len(q.Parts) > maxQuestionParts:
		return badField("parts", "there are more than 256")
	}
	for _, p := range q.Parts {
		if p.ID == "" || p.Tokens < 0 || p.Tokens > maxQuestionCount {
			return badField("parts", "a part lacks its identifier, or its tokens are out of range")
		}
	}
	for _, n := range []struct {
		field string
		value int
	}{{"prompt-tokens", q.PromptTokens}, {"output-tokens", q.OutputTokens}, {"body-bytes", q.BodyBytes}} {
		if n.value < 0 || n.value > maxQuestionCount {
			return badField(n.field, "is out of range")
		}
	}
	return nil
}

func badField(field, what string) error {
	return &Error{"check question", KindInvalid, errors.Errorf("%s: %s", field, what)}
}

// headers returns the question as the headers of a call.
func (q *Question) headers() fescuelatch.CallHeaders {
	c := fescuelatch.CallHeaders{PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, Session: q.Session}
	tokens := 0
	for _, p := range q.Parts {
		c.Parts = append(c.Parts, fescuelatch.PromptPart{ID: p.ID, Tokens: p.Tokens})
		tokens += p.Tokens
	}
	if c.PromptTokens == 0 {
		c.PromptTokens = min(tokens, maxQuestionCount)
	}
	return c
}

// routeIn returns the route that the question selects.
func (q *Question) routeIn(d *fescuelatch.Deployment) (*fescuelatch.Route, error) {
	if q.Host != "" {
		path, _, _ := strings.Cut(q.Path, "?")
		if r := d.Match(q.Host, path); r != nil {
			return r, nil
		}
		return nil, badField("path", "no route has this host and path")
	}
	var found []*fescuelatch.Route
	for i := range d.Routes {
		if r := &d.Routes[i]; r.ID == q.Route || q.Route == "" && hasService(r, q.Service) {
			found = append(found, r)
		}
	}
	switch {
	case len(found) == 1:
		return found[0], nil
	case q.Route != "":
		return nil, badField("route", "there is none with this identifier")
	case len(found) == 0:
		return nil, badField("service", "no route leads to it")
	}
	ids := make([]string, len(found))
	for i, r := range found {
		ids[i] = string(r.ID)
	}
	return nil, badField("service", "several routes lead to it, so that one has to be named: "+strings.Join(ids, ", "))
}

func hasService(r *fescuelatch.Route, s fescuelatch.ServiceID) bool {
	for i := range r.Targets {
		if r.Targets[i].Service == s {
			return true
		}
	}
	return false
}

// targetOf returns the target of the route that gets the request, with the models that may
// answer. Requests without a session are drawn by the targets' weights; the question is of those
// that go to the target with the highest one.
func (q *Question) targetOf(r *fescuelatch.Route) (*fescuelatch.RouteTarget, []fescuelatch.ModelID, error) {
	var target *fescuelatch.RouteTarget
	if q.Session != "" {
		target = chooseTarget(r, q.Session)
	} else {
		for i := range r.Targets {
			t := &r.Targets[i]
			eligible := (q.Service == "" || t.Service == q.Service) && (q.Model == "" || hasModel(t, q.Model))
			if eligible && (target == nil || t.Weight > target.Weight) {
				target = t
			}
		}
	}
	switch {
	case target == nil, q.Model != "" && !hasModel(target, q.Model):
		return nil, nil, badField("model", "is not one of the route's models")
	case q.Model != "":
		return target, []fescuelatch.ModelID{q.Model}, nil
	}
	return target, target.Ladder, nil
}

func hasModel(t *fescuelatch.RouteTarget, m fescuelatch.ModelID) bool {
	for _, o := range t.Ladder {
		if o == m {
			return true
		}
	}
	return false
}

// accountIn returns the client account of the question.
func (q *Question) accountIn(v *fescuelatch.View, r *fescuelatch.Route) (fescuelatch.AccountID, error) {
	if r.Public {
		return accountPublic, nil
	}
	if q.Account == "" {
		return "", badField("account", "is missing, and the route is not public")
	}
	if _, ok := v.Account(q.Account); !ok {
		return "", badField("account", "there is none with this identifier")
	}
	return q.Account, nil
}
