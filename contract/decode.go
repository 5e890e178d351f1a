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

// position is a line and column in the content, counted from 1.
type position struct{ line, column int }

// Positions tells where the fields of a bundle stand.
type Positions struct{ of map[string]position }

// Outline decodes a bundle as far as it can, for checks beyond Validate, and tells where the fields
// stand. Fields with a problem are left empty.
func Outline(content []byte) (*Bundle, Positions) {
	b, d := decodeAll(content)
	return b, Positions{d.positions}
}

// IsSet reports whether the bundle states a field.
func (p Positions) IsSet(field string) bool {
	_, ok := p.of[field]
	return ok
}

// At returns line and column of a field, or of its nearest parent that is set.
func (p Positions) At(field string) (line, column int) {
	at := nearestPosition(p.of, field)
	return at.line, at.column
}

// decoder fills a Bundle from the YAML syntax tree and collects every problem it meets.
type decoder struct {
	problems []Problem
	// positions maps a field path to its position; a field without an entry is not set.
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
		d.addProblem(position{1, 1}, "", fmt.Sprintf("the bundle is larger than %d bytes", maxBundleSize), "split accounts into groups that share keys, or remove comments")
		return b, d
	}
	if depth := bracketDepth(content); depth > maxNesting {
		d.addProblem(position{1, 1}, "", "the document is nested too deeply", "follow the schema in docs/bundle.md")
		return b, d
	}
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return b, d
	}
	body := d.rootNode(file)
	if body != nil {
		d.decodeValue(body, "", reflect.ValueOf(b).Elem())
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

func (d *decoder) rootNode(file *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			d.addProblem(positionOf(doc.Body), "", "more than one YAML document", "write one bundle to a file")
			return nil
		}
		body = doc.Body
	}
	if body == nil {
		d.addProblem(position{1, 1}, "", "the bundle is empty", "see examples/ and docs/bundle.md")
	}
	return body
}

func (d *decoder) addSyntaxError(err error) {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		p := ye.GetToken().Position
		d.addProblem(position{p.Line, p.Column}, "", "not valid YAML: "+ye.GetMessage(), "correct the syntax")
		return
	}
	d.addProblem(position{1, 1}, "", "not valid YAML", "correct the syntax")
}

func (d *decoder) addProblem(p position, field, message, fix string) {
	d.problems = append(d.problems, Problem{Line: p.line, Column: p.column, Field: field, Message: message, Fix: fix})
}

// decodeValue decodes one node into target, which must be settable by reflection.
func (d *decoder) decodeValue(n ast.Node, path string, target reflect.Value) {
	if _, ok := d.positions[path]; !ok {
		d.positions[path] = positionOf(n)
	}
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		d.addProblem(positionOf(n), path, "anchors, aliases and tags are not accepted", "write the value out, so that what is signed is what is read")
		return
	case ast.NullType:
		d.addProblem(positionOf(n), path, "the field has no value", "give it a value or remove the line")
		return
	}
	switch {
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(n, path, target.Elem())
	case target.Kind() == reflect.Struct && target.Type() != timeType:
		d.decodeMapping(n, path, target)
	case target.Kind() == reflect.Slice:
		d.decodeSequence(n, path, target)
	default:
		d.decodeScalar(n, path, target)
	}
}

func (d *decoder) decodeMapping(n ast.Node, path string, target reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.addProblem(positionOf(n), path, "expected a mapping of fields", "follow the schema in docs/bundle.md")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := make(map[string]int)
	for _, entry := range m.Values {
		d.decodeEntry(entry, path, target, fields, seen)
	}
}

func (d *decoder) decodeEntry(entry *ast.MappingValueNode, path string, target reflect.Value, fields map[string]int, seen map[string]int) {
	key := keyOf(entry)
	at := positionOf(entry.Key)
	field := joinPath(path, key)
	index, known := fields[key]
	if !known {
		d.addProblem(at, field, "unknown field", "use one of "+strings.Join(sortedKeys(fields), ", "))
		return
	}
	if line, dup := seen[key]; dup {
		d.addProblem(at, field, fmt.Sprintf("duplicate field, first set on line %d", line), "keep one of the two")
		return
	}
	seen[key] = at.line
	d.positions[field] = at
	if entry.Value == nil {
		d.addProblem(at, field, "the field has no value", "give it a value or remove the line")
		return
	}
	d.decodeValue(entry.Value, field, target.Field(index))
}

func (d *decoder) decodeSequence(n ast.Node, path string, target reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(positionOf(n), path, "expected a list", "write each element on a line that starts with \"- \"")
		return
	}
	out := reflect.MakeSlice(target.Type(), len(s.Values), len(s.Values))
	for i, element := range s.Values {
		d.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	target.Set(out)
}

func (d *decoder) decodeScalar(n ast.Node, path string, target reflect.Value) {
	want, fix := describeScalar(target.Type())
	if !acceptsNode(target.Type(), n) || yaml.NodeToValue(n, target.Addr().Interface()) != nil {
		target.SetZero()
		d.addProblem(positionOf(n), path, "expected "+want, fix)
	}
}

// acceptsNode restricts the conversions of the YAML library, which would accept a number
// for a string, and read a duration without a unit as nanoseconds.
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

func describeScalar(t reflect.Type) (want, fix string) {
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

func fieldIndexes(t reflect.Type) map[string]int {
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

func positionOf(n ast.Node) position {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return positionOf(m.Values[0].Key)
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

func joinPath(path, key string) string {
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
