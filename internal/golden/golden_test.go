package golden

import (
	"reflect"
	"testing"
	"time"
)

type inner struct {
	Text string
}

type outer struct {
	Number int
	At     time.Time
	Inner  *inner
	List   []inner
	Map    map[string]inner
	Raw    []byte
}

func TestUnsetFields(t *testing.T) {
	now := time.Now()
	complete := outer{1, now, &inner{Text: "a"}, []inner{{Text: "b"}}, map[string]inner{"c": {Text: "d"}}, []byte{0}}
	for _, test := range []struct {
		name   string
		values []any
		want   []string
	}{
		{"complete", []any{complete}, nil},
		{"by pointer", []any{&complete}, nil},
		{"empty", []any{outer{}}, []string{"golden.outer", "golden.outer.At", "golden.outer.Inner", "golden.outer.List", "golden.outer.Map",
			"golden.outer.Number", "golden.outer.Raw"}},
		{"empty below", []any{outer{1, now, &inner{}, []inner{{}}, map[string]inner{"c": {}}, []byte{0}}}, []string{"golden.outer.Inner.Text",
			"golden.outer.List[]", "golden.outer.List[].Text", "golden.outer.Map[]", "golden.outer.Map[].Text"}},
		{"two complete each other", []any{outer{Number: 1, At: now, Raw: []byte{0}},
			outer{Inner: complete.Inner, List: complete.List, Map: complete.Map}}, nil},
	} {
		if got := UnsetFields(test.values...); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
