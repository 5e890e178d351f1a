package contract

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxBundleSize bounds the content of a bundle, in bytes.
const maxBundleSize = 4 << 20

// maxNesting bounds the depth of a document; the schema itself is five deep.
const maxNesting = 16

// position is a place in the content, counted from 1.
type position struct{ line, column int }

// decoder fills a Bundle from the syntax tree and collects every problem on the way.
type decoder struct {
	problems []Problem
	// positions maps a field path to its place; absent means the field is not set.
	positions map[string]position
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// decodeAll decodes content strictly and does not stop at the first problem.
func decodeAll(content []byte) (*Bundle, *decoder) {
	d := &decoder{positions: make(map[string]position)}
	b := &Bundle{}
	if len(content) > maxBundleSize {
		d.add(position{1, 1}, "", fmt.Sprintf("the bundle is larger than %d bytes", maxBundleSize), "split accounts into groups that share keys, or remove comments")
		return b, d
	}
	if depth := bracketDepth(content); depth > maxNesting {
		d.add(position{1, 1}, "", "the document is nested too deeply", "follow the schema in docs/bundle.md")
		return b, d
	}
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return b, d
	}
	body := d.document(file)
	if body != nil {
		d.value(body, "", reflect.ValueOf(b).Elem())
	}
	return b, d
}

// bracketDepth returns the deepest nesting of flow collections. The parser recurses
// on them, so the depth is bounded before it runs.
func bracketDepth(content []byte) int {
	depth, deepest := 0, 0
	for _, c := range content {
		switch c {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return deepest
}

func (d *decoder) document(file *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.add(place(doc.Body), "", "more than one YAML document", "write one bundle to a file")
			return nil
		}
		body = doc.Body
	}
	if body == nil {
		d.add(position{1, 1}, "", "the bundle is empty", "see examples/ and docs/bundle.md")
	}
	return body
}

func (d *decoder) syntax(err error) {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		p := ye.GetToken().Position
		d.add(position{p.Line, p.Column}, "", "not valid YAML: "+ye.GetMessage(), "correct the syntax")
		return
	}
	d.add(position{1, 1}, "", "not valid YAML", "correct the syntax")
}

func (d *decoder) add(p position, field, message, fix string) {
	d.problems = append(d.problems, Problem{Line: p.line, Column: p.column, Field: field, Message: message, Fix: fix})
}

// value decodes one node into target, which must be settable.
func (d *decoder) value(n ast.Node, path string, target reflect.Value) {
	if _, ok := d.positions[path]; !ok {
		d.positions[path] = place(n)
	}
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		d.add(place(n), path, "anchors, aliases and tags are not accepted", "write the value out, so that what is signed is what is read")
		return
	case ast.NullType:
		d.add(place(n), path, "the field has no value", "give it a value or remove the line")
		return
	}
	switch {
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(n, path, target.Elem())
	case target.Kind() == reflect.Struct && target.Type() != timeType:
		d.mapping(n, path, target)
	case target.Kind() == reflect.Slice:
		d.sequence(n, path, target)
	default:
		d.scalar(n, path, target)
	}
}

func (d *decoder) mapping(n ast.Node, path string, target reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.add(place(n), path, "expected a mapping of fields", "follow the schema in docs/bundle.md")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]int)
	for _, entry := range m.Values {
		d.entry(entry, path, target, fields, seen)
	}
}

func (d *decoder) entry(entry *ast.MappingValueNode, path string, target reflect.Value, fields map[string]int, seen map[string]int) {
	key := keyOf(entry)
	at := place(entry.Key)
	field := join(path, key)
	index, known := fields[key]
	if !known {
		d.add(at, field, "unknown field", "use one of "+strings.Join(sortedKeys(fields), ", "))
		return
	}
	if line, dup := seen[key]; dup {
		d.add(at, field, fmt.Sprintf("duplicate field, first set on line %d", line), "keep one of the two")
		return
	}
	seen[key] = at.line
	d.positions[field] = at
	if entry.Value == nil {
		d.add(at, field, "the field has no value", "give it a value or remove the line")
		return
	}
	d.value(entry.Value, field, target.Field(index))
}

func (d *decoder) sequence(n ast.Node, path string, target reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(place(n), path, "expected a list", "write each element on a line that starts with \"- \"")
		return
	}
	out := reflect.MakeSlice(target.Type(), len(s.Values), len(s.Values))
	for i, element := range s.Values {
		d.value(element, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	target.Set(out)
}

func (d *decoder) scalar(n ast.Node, path string, target reflect.Value) {
	want, fix := scalarKind(target.Type())
	if !acceptsNode(target.Type(), n) || yaml.NodeToValue(n, target.Addr().Interface()) != nil {
		target.SetZero()
		d.add(place(n), path, "expected "+want, fix)
	}
}

// acceptsNode restricts the library's conversions: it would read a number as a string
// and a number without a unit as nanoseconds.
func acceptsNode(t reflect.Type, n ast.Node) bool {
	isText := n.Type() == ast.StringType || n.Type() == ast.LiteralType
	if t == durationType || t == timeType || t.Kind() == reflect.String {
		return isText
	}
	switch t.Kind() {
	case reflect.Bool:
		return n.Type() == ast.BoolType
	case reflect.Float64:
		return n.Type() == ast.FloatType || n.Type() == ast.IntegerType
	default:
		return n.Type() == ast.IntegerType
	}
}

func scalarKind(t reflect.Type) (want, fix string) {
	switch t {
	case durationType:
		return "a duration with a unit", "write for example 500ms, 30s, 10m or 24h"
	case timeType:
		return "a time in RFC 3339", "write for example 2031-05-04T18:00:00Z"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string", "put the value in quotes"
	case reflect.Bool:
		return "true or false", "write true or false"
	case reflect.Float64:
		return "a number", "write a number without quotes or unit"
	default:
		return "a whole number", "write a whole number without quotes or unit"
	}
}

func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		out[t.Field(i).Tag.Get("yaml")] = i
	}
	return out
}

func keyOf(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return strings.TrimSpace(entry.Key.String())
}

func place(n ast.Node) position {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return place(m.Values[0].Key)
	}
	var t *token.Token
	if n != nil {
		t = n.GetToken()
	}
	if t == nil || t.Position == nil {
		return position{1, 1}
	}
	return position{t.Position.Line, t.Position.Column}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
