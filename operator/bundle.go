package operator

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"
	"time"

	"toucantiller.dev/contract"
	"toucantiller.dev/control/api"
)

type bundleValidateCmd struct {
	File string `arg:"" help:"Bundle to validate."`
}

type bundleSignCmd struct {
	signer
	File       string `arg:"" help:"Bundle to sign."`
	Signatures string `help:"File that collects the signatures; FILE.signatures by default." env:"TOUCAN_SIGNATURES" type:"path"`
}

type bundleApplyCmd struct {
	changer
	File       string `arg:"" help:"Bundle to apply."`
	Signatures string `help:"File that holds the signatures; FILE.signatures by default." env:"TOUCAN_SIGNATURES" type:"path"`
	Wait       bool   `help:"Wait until the configuration is in force everywhere." env:"TOUCAN_WAIT"`
}

type bundleShowCmd struct {
	Content bool `help:"Print the exact content." env:"TOUCAN_CONTENT"`
}

type validation struct {
	File     string             `json:"file"`
	Digest   string             `json:"digest"`
	Valid    bool               `json:"valid"`
	Problems []contract.Problem `json:"problems"`
}

func (v *validation) text(w io.Writer) {
	for _, p := range v.Problems {
		line(w, "%s:%s", v.File, p)
	}
	if v.Valid {
		line(w, "%s: valid, digest %s", v.File, v.Digest)
		return
	}
	line(w, "%s: refused, %s", v.File, count(len(v.Problems), "problem"))
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	if strings.HasSuffix(noun, "s") {
		noun += "e"
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func (s *session) validate(file string, content []byte) *validation {
	problems := contract.Validate(content, s.Now())
	return &validation{File: file, Digest: contract.Digest(content), Valid: len(problems) == 0, Problems: problems}
}

// Run validates a bundle.
func (c *bundleValidateCmd) Run(s *session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	v := s.validate(c.File, content)
	return errors.Join(s.print(v), refusedUnless(v.Valid))
}

func refusedUnless(ok bool) error {
	if ok {
		return nil
	}
	return ErrRefused
}

type signed struct {
	File       string `json:"file"`
	Digest     string `json:"digest"`
	Operator   string `json:"operator"`
	Signatures string `json:"signatures_file"`
	Count      int    `json:"signatures"`
	Required   int    `json:"required"`
}

func (r *signed) text(w io.Writer) {
	line(w, "%s: signed by %s, digest %s", r.File, r.Operator, r.Digest)
	line(w, "%s: %d of %s by operators other than the author", r.Signatures, r.Count, count(r.Required, "required signature"))
}

// Run signs a bundle and adds the signature to the signatures file.
func (c *bundleSignCmd) Run(s *session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	if v := s.validate(c.File, content); !v.Valid {
		return errors.Join(s.print(v), ErrRefused)
	}
	key, err := contract.ReadKeyFile(c.Key)
	if err != nil {
		return usageError{err}
	}
	b, err := contract.ParseBundle(content)
	if err != nil {
		return err
	}
	if c.Operator == b.Author {
		return fmt.Errorf("%s is the author of %s; another operator must sign it", c.Operator, c.File)
	}
	path := cmp.Or(c.Signatures, c.File+".signatures")
	all, err := readSignatures(path)
	if err != nil {
		return usageError{err}
	}
	all = slices.DeleteFunc(all, func(o contract.SignOff) bool { return o.Operator == c.Operator })
	all = append(all, contract.Sign(content, c.Operator, key, s.Now()))
	if err := writeSignatures(path, all); err != nil {
		return err
	}
	return s.print(&signed{File: c.File, Digest: contract.Digest(content), Operator: c.Operator, Signatures: path, Count: len(all), Required: b.SignOff.Required})
}

// readSignatures reads a signatures file; a missing one is empty.
func readSignatures(path string) ([]contract.SignOff, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []contract.SignOff
	if err := json.Unmarshal(content, &out); err != nil {
		return nil, fmt.Errorf("%s is not a signatures file: %w", path, err)
	}
	return out, nil
}

func writeSignatures(path string, all []contract.SignOff) error {
	content, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

// Run applies a signed bundle.
func (c *bundleApplyCmd) Run(s *session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	if v := s.validate(c.File, content); !v.Valid {
		return errors.Join(s.print(v), ErrRefused)
	}
	all, err := readSignatures(cmp.Or(c.Signatures, c.File+".signatures"))
	if err != nil {
		return usageError{err}
	}
	change := &api.ApplyBundle{Content: content}
	for _, o := range all {
		change.Signatures = append(change.Signatures, api.Signature(o))
	}
	return s.change(c.changer, c.Wait, change, func(control Control) (*api.ChangeReply, error) {
		ctx, cancel := s.timeout()
		defer cancel()
		return control.ApplyBundle(ctx, change)
	})
}

type shown struct {
	Bundle    contract.BundleRef `json:"bundle"`
	Author    string             `json:"author,omitempty"`
	AppliedBy string             `json:"applied_by,omitempty"`
	AppliedAt *time.Time         `json:"applied_at,omitempty"`
	Signers   []string           `json:"signers"`
	Content   string             `json:"content,omitempty"`
	Revision  uint64             `json:"revision"`
	InForce   bool               `json:"in_force"`
	Behind    []string           `json:"behind"`
}

func (r *shown) text(w io.Writer) {
	if r.Bundle.Name == "" {
		line(w, "no bundle has been applied")
		return
	}
	if r.Content != "" {
		_, _ = io.WriteString(w, r.Content)
		return
	}
	line(w, "bundle %s version %d, digest %s", r.Bundle.Name, r.Bundle.Version, r.Bundle.Digest)
	signers := "nobody"
	if len(r.Signers) > 0 {
		signers = strings.Join(r.Signers, ", ")
	}
	when := ""
	if r.AppliedAt != nil {
		when = " at " + r.AppliedAt.Format(time.RFC3339)
	}
	line(w, "written by %s, signed by %s, applied by %s%s", r.Author, signers, r.AppliedBy, when)
	line(w, "revision %d, %s", r.Revision, inForce(r.InForce, r.Behind))
}

// Run shows the bundle in force.
func (c *bundleShowCmd) Run(s *session) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	out := &shown{Bundle: st.Bundle, Signers: []string{}, Revision: st.Revision, InForce: st.InForce, Behind: behind(st)}
	if st.Bundle.Name != "" {
		if err := c.details(s, out); err != nil {
			return err
		}
	}
	return s.print(out)
}

func (c *bundleShowCmd) details(s *session, out *shown) error {
	ctx, cancel := s.timeout()
	defer cancel()
	b, err := s.control.Bundle(ctx)
	if err != nil {
		return fmt.Errorf("no bundle: %w", err)
	}
	out.Author, out.AppliedBy = b.Author, b.AppliedBy
	if at := b.AppliedAt.UTC(); !at.IsZero() {
		out.AppliedAt = &at
	}
	for _, o := range b.Signatures {
		out.Signers = append(out.Signers, o.Operator)
	}
	if c.Content {
		out.Content = string(b.Content)
	}
	return nil
}
