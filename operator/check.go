package operator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"toucantiller.dev/contract"
	"toucantiller.dev/contract/lint"
	"toucantiller.dev/control/api"
	"toucantiller.dev/program"
)

type bundleCheckCmd struct {
	File    string `arg:"" help:"Bundle, or document in the form of the platform, to check."`
	Offline bool   `help:"Do not compare with the version in force." env:"TOUCAN_OFFLINE"`
}

// checked is what a check found. Nothing was changed by it.
type checked struct {
	File     string         `json:"file"`
	Findings []lint.Finding `json:"findings"`
	// Compared says with what the file was compared; empty when it was not.
	Compared string        `json:"compared_with,omitempty"`
	Skipped  string        `json:"not_compared,omitempty"`
	Changes  []lint.Change `json:"changes"`
}

func (r *checked) text(w io.Writer) {
	for _, f := range r.Findings {
		line(w, "%s:%s", r.File, f)
	}
	line(w, "%s: %s", r.File, count(len(r.Findings), "finding"))
	if r.Compared == "" {
		line(w, "not compared: %s", r.Skipped)
		return
	}
	line(w, "%s to %s", count(len(r.Changes), "change"), r.Compared)
	for _, c := range r.Changes {
		line(w, "  %s", c)
	}
}

// Run checks a configuration and sends nothing that changes anything.
func (c *bundleCheckCmd) Run(s *session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	out := &checked{File: c.File, Findings: []lint.Finding{}, Changes: []lint.Change{}}
	if isDocument(content) {
		err = c.checkDocument(s, content, out)
	} else {
		err = c.checkBundle(s, content, out)
	}
	if err != nil {
		return errors.Join(s.print(out), usageError{err})
	}
	return errors.Join(s.print(out), refusedUnless(len(out.Findings) == 0))
}

// isDocument reports whether content is a JSON object, as documents are; bundles are in YAML.
func isDocument(content []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) }

func (c *bundleCheckCmd) checkBundle(s *session, content []byte, out *checked) error {
	out.Findings = append(out.Findings, lint.Bundle(content, s.Now())...)
	return c.compare(s, content, out, func(in *lint.InForce) ([]lint.Change, []lint.Finding) {
		return lint.CompareBundle(content, in)
	})
}

func (c *bundleCheckCmd) checkDocument(s *session, content []byte, out *checked) error {
	d, err := program.DecodeDocument(content)
	if err != nil {
		out.Findings = append(out.Findings, lint.Unreadable(content, err))
		out.Skipped = "the file cannot be read"
		return nil
	}
	out.Findings = append(out.Findings, lint.Document(d)...)
	return c.compare(s, content, out, func(in *lint.InForce) ([]lint.Change, []lint.Finding) {
		return lint.CompareDocument(d, in)
	})
}

// compare adds what differs from the version in force. A file with errors is not compared: it cannot
// take effect, and a key written in the place of its hash would be shown.
func (c *bundleCheckCmd) compare(s *session, content []byte, out *checked, with func(*lint.InForce) ([]lint.Change, []lint.Finding)) error {
	isError := func(f lint.Finding) bool { return f.Severity == lint.Error }
	switch {
	case c.Offline:
		out.Skipped = "--offline"
		return nil
	case slices.ContainsFunc(out.Findings, isError):
		out.Skipped = "the file has errors"
		return nil
	}
	in, ref, err := s.deployed()
	if err != nil {
		out.Skipped = "no answer from control"
		return err
	}
	if ref.Version > 0 && (in.Document != nil) != isDocument(content) {
		out.Skipped = "the version in force has the other form"
		return errors.New("one of the file and the version in force is a bundle, the other a document")
	}
	changes, findings := with(in)
	out.Compared = "the version in force, none"
	if ref.Version > 0 {
		out.Compared = fmt.Sprintf("the version in force, %s version %d", ref.Name, ref.Version)
	}
	out.Changes = append(out.Changes, changes...)
	out.Findings = append(out.Findings, findings...)
	return nil
}

// deployed reads what the deployment runs with.
func (s *session) deployed() (*lint.InForce, contract.BundleRef, error) {
	st, err := s.status()
	if err != nil {
		return nil, contract.BundleRef{}, err
	}
	in := &lint.InForce{Endpoints: st.Endpoints}
	for _, m := range st.Moves {
		in.Moves = append(in.Moves, lint.Move{
			Service: m.Service, From: m.From, To: m.To,
			UnderWay: m.State == api.MoveRunning || m.State == api.MoveWatching, Done: m.State == api.MoveDone,
		})
	}
	if st.Bundle.Version == 0 {
		return in, st.Bundle, nil
	}
	ctx, cancel := s.timeout()
	defer cancel()
	reply, err := s.control.Bundle(ctx)
	if err != nil {
		return nil, st.Bundle, fmt.Errorf("no version in force: %w", err)
	}
	in.Document = reply.Document
	if len(reply.Content) > 0 {
		if in.Bundle, err = contract.ParseBundle(reply.Content); err != nil {
			return nil, st.Bundle, fmt.Errorf("the bundle in force cannot be read: %w", err)
		}
	}
	return in, st.Bundle, nil
}
