package fleet

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"fescuelatch"
)

func TestDecodeBills(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []fescuelatch.RequestID
		err  string
	}{
		{"batch", `{"origin":"o","sequence":1,"bills":[{"request":"q1"},{"request":"q2"}]}`, []fescuelatch.RequestID{"q1", "q2"}, ""},
		{"list", `[{"request":"q1"}]`, []fescuelatch.RequestID{"q1"}, ""},
		{"bill", `{"request":"q1","key":"k"}`, []fescuelatch.RequestID{"q1"}, ""},
		{"neither", `{"origin":"o"}`, nil, "holds no bill"},
		{"broken", `{`, nil, "unexpected end of JSON input"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			bills, err := decodeBills([]byte(test.in))
			if test.err != "" {
				c.Assert(err, qt.ErrorMatches, test.err)
				return
			}
			c.Assert(err, qt.IsNil)
			var ids []fescuelatch.RequestID
			for _, b := range bills {
				ids = append(ids, b.Request)
			}
			c.Assert(ids, qt.DeepEquals, test.want)
		})
	}
}

func TestReceiptRequest(t *testing.T) {
	tests := []struct {
		attempt fescuelatch.AttemptID
		want    fescuelatch.RequestID
	}{
		{"q1.1", "q1"},
		{"a.b.12", "a.b"},
		{"q1", "q1"},
	}
	for _, test := range tests {
		r := Receipt{Attempt: test.attempt}
		qt.Check(t, r.Request(), qt.Equals, test.want)
	}
}

func TestPortsAreDistinct(t *testing.T) {
	c := qt.New(t)
	ps := newPorts()
	seen := make(map[netip.AddrPort]bool)
	for range 200 {
		a, err := ps.free(netip.MustParseAddr("127.78.1.1"))
		c.Assert(err, qt.IsNil)
		c.Assert(seen[a], qt.IsFalse)
		c.Assert(a.Port() >= firstPort && a.Port() < firstPort+portCount, qt.IsTrue)
		seen[a] = true
	}
	_, err := ps.free(netip.MustParseAddr("192.0.2.1"))
	c.Assert(err, qt.ErrorMatches, "choose port: configuration: .*")
}

func TestPlatformIP(t *testing.T) {
	qt.Assert(t, platformIP(netip.MustParseAddr("127.20.1.1")).String(), qt.Equals, "127.20.250.1")
}
