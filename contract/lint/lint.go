// Package lint finds what is wrong or has no effect in a configuration before it is sent: what validation
// refuses, entries that can never match, and limits that contradict each other. It also compares two
// configurations. It is pure.
package lint

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"toucantiller.dev/contract"
)

// Severity tells what becomes of a configuration with a finding.
type Severity string

// Severities.
const (
	// Error: control refuses the configuration.
	Error Severity = "error"
	// Warning: control accepts the configuration, and a part of it has no effect.
	Warning Severity = "warning"
)

// Codes of findings.
const (
	// CodeInvalid: validation refuses it.
	CodeInvalid = "invalid"
	// CodeVersion: the version is not above the one in force.
	CodeVersion = "version"
	// CodeMove: the service is at another version, or has a move under way.
	CodeMove = "move"
	// CodeNoEndpoints: no endpoint in force has the service or the version.
	CodeNoEndpoints = "no-endpoints"
	// CodeUnreachable: no request can reach the entry.
	CodeUnreachable = "unreachable"
	// CodeUnused: no account may use the tier.
	CodeUnused = "unused"
	// CodeNoEffect: the value bounds nothing or does not apply.
	CodeNoEffect = "no-effect"
	// CodeContradiction: two limits contradict each other.
	CodeContradiction = "contradiction"
	// CodeZeroWeight: the service gets nothing from the route.
	CodeZeroWeight = "zero-weight"
	// CodeAccountNoKey: the limits of the account apply to nobody.
	CodeAccountNoKey = "account-without-key"
	// CodeBurstBelowCost: the burst is below the charge of one request.
	CodeBurstBelowCost = "burst-below-cost"
)

// Finding is one mistake, or one entry without effect.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     string   `json:"code"`
	// Line and Column count from 1; 0 where the format has none.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns "line:column field: severity [code]: message", without the parts that are not known.
func (f Finding) String() string {
	at := f.Field
	if f.Line > 0 {
		at = fmt.Sprintf("%d:%d", f.Line, f.Column)
		if f.Field != "" {
			at += " " + f.Field
		}
	}
	return fmt.Sprintf("%s: %s [%s]: %s", at, f.Severity, f.Code, f.Message)
}

// findings collects what the checks find.
type findings []Finding

func (f *findings) warn(code, field, format string, args ...any) {
	*f = append(*f, Finding{Severity: Warning, Code: code, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (f *findings) fail(code, field, format string, args ...any) {
	*f = append(*f, Finding{Severity: Error, Code: code, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Bundle returns the findings on a bundle in order of position.
func Bundle(content []byte, now time.Time) []Finding {
	var out findings
	for _, p := range contract.Validate(content, now) {
		out = append(out, Finding{Severity: Error, Code: CodeInvalid, Line: p.Line, Column: p.Column, Field: p.Field, Message: p.Message + "; " + p.Fix})
	}
	b, positions := contract.Outline(content)
	c := &bundleCheck{Bundle: b, isSet: positions.IsSet}
	c.checkAll()
	return append(out, c.found...).placed(positions)
}

// placed gives each finding its position and sorts by it.
func (f findings) placed(positions contract.Positions) []Finding {
	for i := range f {
		if f[i].Line == 0 {
			f[i].Line, f[i].Column = positions.At(f[i].Field)
		}
	}
	slices.SortStableFunc(f, func(x, y Finding) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Column, y.Column))
	})
	return f
}

// Unreadable returns the finding on a document in JSON that could not be decoded.
func Unreadable(content []byte, err error) Finding {
	f := Finding{Severity: Error, Code: CodeInvalid, Message: err.Error()}
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset, f.Field = kind.Offset, kind.Field
	}
	if offset >= 0 && offset <= int64(len(content)) {
		before := content[:offset]
		f.Line = bytes.Count(before, []byte("\n")) + 1
		f.Column = max(1, len(before)-(bytes.LastIndexByte(before, '\n')+1))
	}
	return f
}
