package fake_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/fake"
)

// Guards against a fake that fails another share of requests than asked, which would
// make judgements of versions in tests meaningless.
func TestModelFailsItsShare(t *testing.T) {
	m := fake.NewModel("m", fake.Behaviour{PrefillRate: 1e9, DecodeRate: 1e9, FailShare: 0.25})
	failed := 0
	for range 100 {
		w := httptest.NewRecorder()
		m.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"x"}`)))
		if w.Code == http.StatusInternalServerError {
			failed++
		}
	}
	assert.Equal(t, failed, 25)
}
