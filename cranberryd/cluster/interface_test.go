package cluster_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestAnnouncementCannotTakeOverUpstreamID announces the id of a live upstream
// with another token or from another address: both must be refused.
func TestAnnouncementCannotTakeOverUpstreamID(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		tests := []struct {
			name, token string
			incarnation uint64
		}{
			{"token of another subject, higher incarnation", "another-upstream-token-for-tests", 1 << 62},
			{"same subject, other address, older incarnation", upstreamToken, 1},
		}
		for _, test := range tests {
			body := fmt.Sprintf(`{"id":"u1","address":"thief:1","slots":4,"state":"ready","incarnation":%d,"sequence":99999}`, test.incarnation)
			response := c.mustSend("a", http.MethodPost, "/v1/upstreams/announce", test.token, nil, body)
			if response.code() != "conflict" {
				t.Errorf("%s: got %d %s, want conflict", test.name, response.status, response.body)
			}
		}
	})
}

// TestInvalidRequestsAreRefused checks the status and code of unauthorized,
// malformed and impossible requests.
func TestInvalidRequestsAreRefused(t *testing.T) {
	withCluster(t, threeInstances(), func(t *testing.T, c *cluster) {
		c.startWithTwoUpstreams(nil)
		tests := []struct {
			name, method, path, token string
			header                    map[string]string
			body                      string
			wantStatus                int
			wantCode                  string
		}{
			{"no token", http.MethodPost, "/v1/requests", "", isukuHeader(""), "x", 401, "unauthorized"},
			{"token of another kind", http.MethodPost, "/v1/requests", operatorToken, isukuHeader(""), "x", 403, "forbidden"},
			{"caller requests the lists", http.MethodGet, "/v1/lists", isukuToken, nil, "", 403, "forbidden"},
			{"caller uses a path for peers", http.MethodGet, "/peer/claimer/dump", isukuToken, nil, "", 403, "forbidden"},
			{"plan missing", http.MethodPost, "/v1/requests", isukuToken, nil, "x", 400, "invalid"},
			{"plan of another member", http.MethodPost, "/v1/requests", isukuToken, map[string]string{"Cranberry-Plan": "nieve-plan", "Cranberry-Team": "routes"}, "x", 403, "no-such-plan"},
			{"unknown team", http.MethodPost, "/v1/requests", isukuToken, map[string]string{"Cranberry-Plan": "isuku-plan", "Cranberry-Team": "none"}, "x", 403, "no-such-plan"},
			{"bad class", http.MethodPost, "/v1/requests", isukuToken, map[string]string{"Cranberry-Plan": "isuku-plan", "Cranberry-Class": "medium"}, "x", 400, "invalid"},
			{"bad deadline", http.MethodPost, "/v1/requests", isukuToken, map[string]string{"Cranberry-Plan": "isuku-plan", "Cranberry-Deadline-Ms": "soon"}, "x", 400, "invalid"},
			{"lists without request id", http.MethodPut, "/v1/lists", operatorToken, nil, `{"plans":[],"allowances":[]}`, 400, "invalid"},
			{"lists with an unknown key", http.MethodPut, "/v1/lists", operatorToken, nil, `{"request-id":"x","colour":1}`, 400, "invalid"},
			{"lists with an empty body", http.MethodPut, "/v1/lists", operatorToken, nil, ``, 400, "invalid"},
			{"request share over 1", http.MethodPut, "/v1/lists", operatorToken, nil, `{"request-id":"y","expected-version":1,"plans":[{"id":"p","member":"m"}],"allowances":[{"plan":"p","accelerator":"gpu","request-share":1.5}]}`, 400, "invalid"},
			{"job without plan", http.MethodPost, "/v1/jobs", isukuToken, nil, `{"accelerator":"gpu"}`, 400, "invalid"},
			{"job of another member's plan", http.MethodPost, "/v1/jobs", isukuToken, nil, `{"plan":"nieve-plan","accelerator":"gpu","shape":{"adjacent":"worker","parts":1,"accelerators-per-part":1}}`, 403, "no-such-plan"},
			{"job with no parts", http.MethodPost, "/v1/jobs", isukuToken, nil, `{"plan":"isuku-plan","team":"rounds","accelerator":"gpu","shape":{"adjacent":"worker","parts":0,"accelerators-per-part":1}}`, 422, "impossible"},
			{"unknown job", http.MethodGet, "/v1/jobs/none", isukuToken, nil, "", 404, "not-found"},
			{"unknown path", http.MethodGet, "/v2/anything", isukuToken, nil, "", 404, "not-found"},
			{"upstream without slots", http.MethodPost, "/v1/upstreams/announce", upstreamToken, nil, `{"id":"x","address":"x:1","state":"ready"}`, 400, "invalid"},
		}
		for _, test := range tests {
			response := c.mustSend("a", test.method, test.path, test.token, test.header, test.body)
			if response.status != test.wantStatus || response.code() != test.wantCode {
				t.Errorf("%s: got %d %s %s, want %d %s", test.name, response.status, response.code(), response.body, test.wantStatus, test.wantCode)
			}
		}
	})
}
