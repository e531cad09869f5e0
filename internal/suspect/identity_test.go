package suspect

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A deadly request must be recognised whatever changes between two of its attempts.
func TestRequestIsRecognisedWhenItComesAgain(t *testing.T) {
	base := Request{Service: "a", Method: "POST", Host: "one.example", Target: "/x/y%41?q=1", Caller: "tenant", Body: []byte("body"), SharedParts: []string{"p"}}
	cases := []struct {
		name string
		edit func(*Request)
		same bool
	}{
		{"nothing", func(*Request) {}, true},
		{"the route chooses another service", func(r *Request) { r.Service = "b" }, true},
		{"the host with a port", func(r *Request) { r.Host = "one.example:8227" }, true},
		{"the host in other letters", func(r *Request) { r.Host = "ONE.example." }, true},
		{"an escaped letter", func(r *Request) { r.Target = "/%78/yA?q=1" }, true},
		{"a broken escape", func(r *Request) { r.Target = "/x/y%4" }, false},
		{"another query", func(r *Request) { r.Target = "/x/yA?q=2" }, false},
		{"another path", func(r *Request) { r.Target = "/x/z" }, false},
		{"another host", func(r *Request) { r.Host = "two.example" }, false},
		{"another caller", func(r *Request) { r.Caller = "other" }, false},
		{"another body", func(r *Request) { r.Body = []byte("other") }, false},
		{"another method", func(r *Request) { r.Method = "GET" }, false},
	}
	for _, c := range cases {
		edited := base
		c.edit(&edited)
		must.Eq(t, c.same, Identify(&base).Request == Identify(&edited).Request, must.Sprint(c.name))
	}
	other := base
	other.Service = "b"
	must.NotEq(t, Identify(&base).Parts, Identify(&other).Parts)
}
