package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a page of another program, or of an earlier build, that is shown as a VM's state, and
// against errors that don't name the remedy.
func TestAdmissionOfAnAddressThatHasNone(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/vm/admission":
			_, _ = w.Write([]byte(`{"vm":"vm-1","services":[]}` + "\n"))
		case "/text/admission":
			_, _ = w.Write([]byte("hello"))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	state, err := fetchAdmission(t.Context(), server.URL+"/vm/admission")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(state).To(Equal("{\n  \"vm\": \"vm-1\",\n  \"services\": []\n}"))
	for _, path := range []string{"/text", "/old"} {
		err := (&admissionCommand{VM: server.URL + path}).Run(t.Context())
		g.Expect(err).To(MatchError(errNoAdmission))
		g.Expect(exitCode(err)).To(Equal(exitNotFound))
	}
	err = (&admissionCommand{VM: "vm-1"}).Run(t.Context())
	g.Expect(err).To(MatchError(errNotOperations))
	g.Expect(exitCode(err)).To(Equal(exitUsage))
	server.Close()
	err = (&admissionCommand{VM: server.URL}).Run(t.Context())
	g.Expect(err).To(MatchError(errNoOperations))
	g.Expect(exitCode(err)).To(Equal(exitUnavailable))
}
