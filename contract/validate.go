package contract

import (
	"encoding/base64"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds that Validate enforces.
const (
	// MinMoveTime is the shortest time in which a move can pass all its stages: the load
	// that a cold endpoint can take doubles at most every few seconds, and each stage
	// needs answers before the next.
	MinMoveTime = 30 * time.Second
	// MaxMoveTime bounds the duration of a move, as the old version is kept warm throughout.
	MaxMoveTime = 14 * 24 * time.Hour
	// DefaultSignOffValidFor is how long a signature is accepted where the bundle does not say.
	DefaultSignOffValidFor = 24 * time.Hour

	maxBody        = 1 << 30
	maxQueueLength = 1 << 20
)

// Problem is one thing wrong with a bundle.
type Problem struct {
	// Line and Column count from 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, for example "accounts[2].tier"; empty for the document.
	Field string `json:"field,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Fix says what to do.
	Fix string `json:"fix"`
}

// String returns "line:column field: message; fix".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%d:%d: %s; %s", p.Line, p.Column, p.Message, p.Fix)
	}
	return fmt.Sprintf("%d:%d %s: %s; %s", p.Line, p.Column, p.Field, p.Message, p.Fix)
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._+-]{0,62}[A-Za-z0-9])?$`)
	modelPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	routeMethods   = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*"}
)

// Validate returns every problem of a bundle in order of position, and none when the bundle
// can be applied at time now. Problems never contain secrets: values of keys are not quoted.
func Validate(content []byte, now time.Time) []Problem {
	b, d := decodeAll(content)
	if len(d.positions) > 0 {
		v := &validator{decoder: d, bundle: b, now: now}
		v.checkAll()
	}
	slices.SortStableFunc(d.problems, func(x, y Problem) int {
		if x.Line != y.Line {
			return x.Line - y.Line
		}
		return x.Column - y.Column
	})
	return d.problems
}

// validator checks the values of the decoded fields against each other and the bounds.
type validator struct {
	*decoder
	bundle *Bundle
	now    time.Time
}

func (v *validator) checkAll() {
	v.checkHeader()
	v.checkOperators()
	v.checkTiers()
	v.checkDomains()
	v.checkServices()
	v.checkAccounts()
	v.checkMove()
}

// nearestPosition returns the position of a field, or of its nearest parent that is set.
func nearestPosition(positions map[string]position, field string) position {
	for {
		if p, ok := positions[field]; ok {
			return p
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return position{1, 1}
		}
		field = field[:cut]
	}
}

func (v *validator) isSet(field string) bool {
	_, ok := v.positions[field]
	return ok
}

func (v *validator) report(field, message, fix string) {
	v.addProblem(nearestPosition(v.positions, field), field, message, fix)
}

// hasProblem reports whether decoding already found a problem with the field, so that one
// fault is not reported twice.
func (v *validator) hasProblem(field string) bool {
	return slices.ContainsFunc(v.problems, func(p Problem) bool { return p.Field == field })
}

// checkText checks a required string against a pattern.
func (v *validator) checkText(field, value string, pattern *regexp.Regexp) {
	switch {
	case v.hasProblem(field):
	case value == "":
		v.report(field, "required and not set", "set it")
	case !pattern.MatchString(value):
		v.report(field, fmt.Sprintf("%q is not a valid name", value), "use letters, digits, \"-\" and \".\", at most 64 characters, lower case for names")
	}
}

// checkUnique reports a name that was used before in the same list.
func (v *validator) checkUnique(seen map[string]string, field, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		v.report(field, fmt.Sprintf("%q is already used by %s", value, first), "give each its own name")
		return
	}
	seen[value] = field
}

func (v *validator) checkNotEmpty(field string, n int) {
	if n == 0 && !v.hasProblem(field) {
		v.report(field, "required and empty", "list at least one")
	}
}

func (v *validator) checkNotNegative(field string, value float64) {
	if value < 0 || value != value {
		v.report(field, "must not be negative", "use 0 or leave it out for no bound or the default")
	}
}

func (v *validator) checkDuration(field string, value time.Duration, lowest, highest time.Duration) {
	if !v.isSet(field) || v.hasProblem(field) {
		return
	}
	if value < lowest || value > highest {
		v.report(field, fmt.Sprintf("%s is out of range", value), fmt.Sprintf("use %s to %s", lowest, highest))
	}
}

// checkReference reports a name that is not among the defined names.
func (v *validator) checkReference(field, value, what string, names []string) {
	if value == "" || v.hasProblem(field) || slices.Contains(names, value) {
		return
	}
	fix := "define it first"
	if names = slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(names))), isEmpty); len(names) > 0 {
		fix = "use one of " + strings.Join(names, ", ")
	}
	v.report(field, fmt.Sprintf("no %s is named %q", what, value), fix)
}

func isEmpty(s string) bool { return s == "" }

func (v *validator) checkHeader() {
	b := v.bundle
	v.checkText("name", b.Name, namePattern)
	if b.Version == 0 && !v.hasProblem("version") {
		v.report("version", "required and not set", "use 1 for the first bundle and count up")
	}
	v.checkDuration("serve_stale", b.ServeStale, 10*time.Second, 24*time.Hour)
	v.checkDuration("sign_off.valid_for", b.SignOff.ValidFor, time.Minute, 30*24*time.Hour)
}

func (v *validator) checkOperators() {
	b := v.bundle
	v.checkNotEmpty("operators", len(b.Operator))
	names := make(map[string]string)
	keys := make(map[string]string)
	var all []string
	for i, o := range b.Operator {
		field := fmt.Sprintf("operators[%d]", i)
		v.checkText(field+".name", o.Name, namePattern)
		v.checkUnique(names, field+".name", o.Name)
		if _, err := o.Key(); err != nil && !v.hasProblem(field+".public_key") {
			v.report(field+".public_key", "not an ed25519 public key in base64", "use the public key that \"toucanctl key generate\" prints")
		} else if first, ok := keys[o.PublicKey]; ok {
			v.report(field+".public_key", "the same key as "+first, "give each operator a key of their own, or one person could sign twice")
		}
		keys[o.PublicKey] = field
		all = append(all, o.Name)
	}
	if b.Author == "" && !v.hasProblem("author") {
		v.report("author", "required and not set", "name the operator who wrote the bundle")
	}
	v.checkReference("author", b.Author, "operator", all)
	v.checkSignOffRule(all)
}

func (v *validator) checkSignOffRule(operators []string) {
	required := v.bundle.SignOff.Required
	others := len(operators)
	if slices.Contains(operators, v.bundle.Author) {
		others--
	}
	switch field := "sign_off.required"; {
	case v.hasProblem(field):
	case !v.isSet(field):
		v.report(field, "required and not set", "state how many operators other than the author must sign; 0 for none")
	case required < 0:
		v.report(field, "must not be negative", "use 0 or more")
	case required > others:
		v.report(field, fmt.Sprintf("%d signatures are required and the bundle names %d besides the author", required, others), "add operators or lower the number")
	}
}

func (v *validator) checkTiers() {
	v.checkNotEmpty("tiers", len(v.bundle.Tiers))
	names := make(map[string]string)
	for i, t := range v.bundle.Tiers {
		field := fmt.Sprintf("tiers[%d]", i)
		v.checkText(field+".name", t.Name, namePattern)
		v.checkUnique(names, field+".name", t.Name)
		v.checkDuration(field+".max_queue_time", t.MaxQueueTime, time.Millisecond, time.Hour)
		v.checkDuration(field+".first_token", t.FirstToken, time.Millisecond, time.Hour)
	}
}

func (v *validator) checkDomains() {
	v.checkNotEmpty("failure_domains", len(v.bundle.Domains))
	names := make(map[string]string)
	for i, d := range v.bundle.Domains {
		field := fmt.Sprintf("failure_domains[%d]", i)
		v.checkText(field+".name", d.Name, namePattern)
		v.checkUnique(names, field+".name", d.Name)
		v.checkText(field+".region", d.Region, namePattern)
	}
}

func (v *validator) checkAccounts() {
	v.checkNotEmpty("accounts", len(v.bundle.Accounts))
	names := make(map[string]string)
	hashes := make(map[string]string)
	for i, a := range v.bundle.Accounts {
		field := fmt.Sprintf("accounts[%d]", i)
		v.checkText(field+".name", a.Name, namePattern)
		v.checkUnique(names, field+".name", a.Name)
		v.checkAccount(field, a)
		v.checkKeyHashes(field, a, hashes)
	}
}

func (v *validator) checkAccount(field string, a AccountSpec) {
	if a.Tier == "" && !v.hasProblem(field+".tier") {
		v.report(field+".tier", "required and not set", "name one of the tiers")
	}
	v.checkReference(field+".tier", a.Tier, "tier", v.tierNames())
	v.checkNotNegative(field+".weight", a.Weight)
	v.checkNotNegative(field+".requests_per_second", a.RequestsPerSecond)
	v.checkNotNegative(field+".burst", float64(a.Burst))
	v.checkNotNegative(field+".max_concurrent", float64(a.MaxConcurrent))
	if a.RequestsPerSecond > 0 && a.Burst == 0 && !v.hasProblem(field+".burst") {
		v.report(field+".burst", "requests_per_second without burst would admit nothing", "set burst to at least 1")
	}
	for i, s := range a.Services {
		v.checkReference(fmt.Sprintf("%s.services[%d]", field, i), s, "service", v.serviceNames())
	}
}

func (v *validator) checkKeyHashes(field string, a AccountSpec, seen map[string]string) {
	v.checkNotEmpty(field+".key_hashes", len(a.KeyHashes))
	for i, h := range a.KeyHashes {
		at := fmt.Sprintf("%s.key_hashes[%d]", field, i)
		if v.hasProblem(at) {
			continue
		}
		if !keyHashPattern.MatchString(h) {
			v.report(at, "not a SHA-256 hash in lower-case hex", "use the hash that \"toucanctl key generate --caller\" prints, never the key")
			continue
		}
		if first, ok := seen[h]; ok {
			v.report(at, "the same key hash as "+first, "give each account keys of its own")
			continue
		}
		seen[h] = at
	}
}

func (v *validator) tierNames() []string {
	out := make([]string, 0, len(v.bundle.Tiers))
	for _, t := range v.bundle.Tiers {
		out = append(out, t.Name)
	}
	return out
}

func (v *validator) serviceNames() []string {
	out := make([]string, 0, len(v.bundle.Services))
	for _, s := range v.bundle.Services {
		out = append(out, s.Name)
	}
	return out
}

// Key decodes the operator's public key.
func (o OperatorSpec) Key() ([]byte, error) {
	key, err := base64.StdEncoding.Strict().DecodeString(o.PublicKey)
	if err != nil || len(key) != publicKeySize {
		return nil, ErrPublicKey
	}
	return key, nil
}
