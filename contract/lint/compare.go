package lint

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"toucantiller.dev/account"
	"toucantiller.dev/contract"
)

// Kind states how a field differs from the version in force.
type Kind string

// Kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one field that differs from the version in force.
type Change struct {
	Kind Kind `json:"kind"`
	// Field is the path of the field; elements of lists go by name: "accounts[NAME].tier".
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	// Touches lists the accounts, services, routes, endpoints and moves that the change reaches.
	Touches []string `json:"touches"`
}

// String returns the change in one line.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s", c.Kind, c.Field)
	switch {
	case c.Kind == Changed:
		line += fmt.Sprintf(": %s -> %s", shown(c.Old), shown(c.New))
	case c.Old+c.New != "":
		line += ": " + c.Old + c.New
	}
	if len(c.Touches) > 0 {
		line += " (touches " + strings.Join(c.Touches, ", ") + ")"
	}
	return line
}

func shown(value string) string {
	if value == "" {
		return "not set"
	}
	return value
}

// documentFields are the fields of a document that are compared. Its content is not, as it may
// hold keys.
type documentFields struct {
	Version     uint64                  `json:"version"`
	Routes      []contract.IngressRoute `json:"routes"`
	Services    []*contract.Service     `json:"services"`
	Accounts    []*account.Account      `json:"accounts"`
	IdleTimeout time.Duration           `json:"idle_timeout"`
	HeadTimeout time.Duration           `json:"head_timeout"`
	MaxHead     int64                   `json:"max_head"`
}

// compare returns the changes from one bundle or document to another of the same type, without what
// they touch.
func compare(before, after any) []Change {
	var out []Change
	diff("", treeOf(reflect.ValueOf(before)), treeOf(reflect.ValueOf(after)), &out)
	return out
}

// tree is a value as it is compared: a leaf with a text, or branches by name in order.
type tree struct {
	text     string
	names    []string
	branches map[string]*tree
	isList   bool
}

func (t *tree) add(name string, branch *tree) {
	if _, taken := t.branches[name]; taken {
		name += "#" + strconv.Itoa(len(t.names))
	}
	t.names = append(t.names, name)
	t.branches[name] = branch
}

// keyHashDigits is how much of a key's hash names it.
const keyHashDigits = 8

// treeOf returns the tree of a value, nil for one that is not set.
func treeOf(v reflect.Value) *tree {
	switch x := v.Interface().(type) {
	case time.Duration:
		return leaf(v, x.String())
	case time.Time:
		return leaf(v, x.Format(time.RFC3339))
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return treeOf(v.Elem())
	case reflect.Struct:
		return treeOfStruct(v)
	case reflect.Slice:
		return treeOfList(v)
	}
	return leaf(v, fmt.Sprint(v.Interface()))
}

func leaf(v reflect.Value, text string) *tree {
	if v.IsZero() {
		return nil
	}
	return &tree{text: text}
}

func treeOfStruct(v reflect.Value) *tree {
	t := &tree{branches: make(map[string]*tree)}
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		name := tag.Get("yaml")
		if name == "" {
			name, _, _ = strings.Cut(tag.Get("json"), ",")
		}
		if branch := treeOf(v.Field(i)); branch != nil {
			t.add(name, branch)
		}
	}
	return t
}

func treeOfList(v reflect.Value) *tree {
	t := &tree{branches: make(map[string]*tree), isList: true}
	for i := range v.Len() {
		element := reflect.Indirect(v.Index(i))
		t.add(nameOf(element), treeOf(element))
	}
	return t
}

// nameOf returns what an element of a list goes by.
func nameOf(v reflect.Value) string {
	if v.Kind() != reflect.Struct {
		text := fmt.Sprint(v.Interface())
		if len(text) == 2*32 {
			return text[:keyHashDigits]
		}
		return text
	}
	for _, field := range []string{"Name", "Service", "Version"} {
		if f := v.FieldByName(field); f.IsValid() {
			return fmt.Sprint(f.Interface())
		}
	}
	return ""
}

// diff adds the changes between two trees, of which one may be nil.
func diff(path string, before, after *tree, out *[]Change) {
	switch {
	case before == nil && after == nil:
	case before == nil && after.branches == nil, after == nil && before.branches == nil:
		*out = append(*out, Change{Kind: Changed, Field: path, Old: before.summary(), New: after.summary()})
	case before == nil:
		*out = append(*out, Change{Kind: Added, Field: path, New: after.summary()})
	case after == nil:
		*out = append(*out, Change{Kind: Removed, Field: path, Old: before.summary()})
	case before.branches == nil:
		if before.text != after.text {
			*out = append(*out, Change{Kind: Changed, Field: path, Old: before.text, New: after.text})
		}
	default:
		diffBranches(path, before, after, out)
	}
}

func diffBranches(path string, before, after *tree, out *[]Change) {
	names := slices.Clone(before.names)
	for _, name := range after.names {
		if _, known := before.branches[name]; !known {
			names = append(names, name)
		}
	}
	for _, name := range names {
		b, a := before.branches[name], after.branches[name]
		switch {
		case before.isList && b == nil:
			*out = append(*out, Change{Kind: Added, Field: path + "[" + name + "]", New: a.details()})
		case before.isList && a == nil:
			*out = append(*out, Change{Kind: Removed, Field: path + "[" + name + "]", Old: b.details()})
		case before.isList:
			diff(path+"["+name+"]", b, a, out)
		default:
			diff(strings.TrimPrefix(path+"."+name, "."), b, a, out)
		}
	}
	if before.isList && !slices.Equal(before.names, after.names) && sameNames(before, after) {
		*out = append(*out, Change{Kind: Changed, Field: path, Old: strings.Join(before.names, ", "), New: strings.Join(after.names, ", ")})
	}
}

func sameNames(a, b *tree) bool {
	return slices.Equal(slices.Sorted(maps.Keys(a.branches)), slices.Sorted(maps.Keys(b.branches)))
}

// details returns what an element of a list holds beside its name.
func (t *tree) details() string {
	if t.branches == nil {
		return ""
	}
	return t.summary()
}

// summary returns a tree in one line.
func (t *tree) summary() string {
	if t == nil {
		return ""
	}
	if t.branches == nil {
		return t.text
	}
	parts := make([]string, 0, len(t.names))
	for _, name := range t.names {
		b := t.branches[name]
		switch {
		case t.isList && b.branches["weight"] != nil && len(b.names) == 2:
			parts = append(parts, name+" "+b.branches["weight"].text)
		case t.isList:
			parts = append(parts, name)
		case len(b.names) > 0:
			parts = append(parts, name+" ["+b.summary()+"]")
		case b.branches == nil:
			parts = append(parts, name+" "+b.text)
		}
	}
	return strings.Join(parts, ", ")
}
