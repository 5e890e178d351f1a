package fake_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"toucantiller.dev/fake"
)

// Guards against a fake engine that fails a different fraction of requests than configured: tests
// that compare versions by their failures would then be meaningless.
func TestModelFailsConfiguredShare(t *testing.T) {
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
