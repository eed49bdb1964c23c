package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Certificate writes a certificate for a name, signed by itself, and its key to files of a
// folder.
func Certificate(dir, name string) (cert, key string) {
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	CertificateAt(cert, key, name)
	return cert, key
}

// CertificateAt is Certificate for files that are named. It panics where they can't be
// written.
func CertificateAt(cert, key, name string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must(err)
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	must(err)
	secret, err := x509.MarshalPKCS8PrivateKey(k)
	must(err)
	must(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// OverTLS asks for a path over TLS, in the protocol named, and tells whose certificate it
// was shown. Certificates are not checked.
func OverTLS(addr, proto, path string) (resp *http.Response, name string, err error) {
	tr := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, NextProtos: []string{proto}}, ForceAttemptHTTP2: proto == "h2"}
	if proto != "h2" {
		tr.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
	}
	defer tr.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, "https://"+addr+path, nil)
	if err != nil {
		return nil, "", err
	}
	if resp, err = tr.RoundTrip(r); err != nil {
		return nil, "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp, resp.TLS.PeerCertificates[0].Subject.CommonName, err
}
