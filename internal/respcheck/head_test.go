package respcheck

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestHead(t *testing.T) {
	cases := []struct {
		head  Head
		valid bool
	}{
		{Head{Status: 0}, false},
		{Head{Status: 99}, false},
		{Head{Status: 100}, true},
		{Head{Status: 100, AnnouncesBody: true}, false},
		{Head{Status: 101}, false},
		{Head{Status: 103}, true},
		{Head{Status: 199, AnnouncesBody: true}, false},
		{Head{Status: 200}, true},
		{Head{Status: 200, AnnouncesBody: true}, true},
		{Head{Status: 413, AnnouncesBody: true}, true},
		{Head{Status: 599}, true},
		{Head{Status: 600}, false},
		{Head{Status: 999}, false},
	}
	for n, c := range cases {
		must.Eq(t, c.valid, c.head.Check() == nil, must.Sprintf("case %d: status %d", n, c.head.Status))
	}
}
