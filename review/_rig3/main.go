package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// trial is a case: it plays with or without its disruption.
type trial func(d *deployment, trouble bool) (verdict, error)

var trials = map[string]trial{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(int(failed))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, folder string) verdict {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{began: time.Now(), file: file}
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer d.stop()
	d.stopOnSignal()
	t := trials[name]
	if t == nil {
		fmt.Println("no such case")
		return failed
	}
	v, err := t(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Println(err)
		return failed
	}
	rec.note("verdict: %s", [...]string{"the rule held", "the rule was broken"}[v])
	return v
}

// config is a configuration of a small deployment.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-digest","host":"mill.example","path_prefix":"/digest/","type":"stream","timeout_ms":3000,"slo_ms":500,"priority":1,"backend":"weft-lm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":400},
{"name":"r-audit","host":"mill.example","path_prefix":"/audit/","type":"stream","timeout_ms":5000,"slo_ms":800,"priority":0,"backend":"weft-lm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":400},
{"name":"r-book","host":"mill.example","path_prefix":"/book/","type":"unsafe","timeout_ms":1000,"slo_ms":150,"priority":2,"backend":"member-desk","max_attempts":1,"public":false},
{"name":"r-look","host":"mill.example","path_prefix":"/look/","type":"safe","timeout_ms":1000,"slo_ms":150,"priority":2,"backend":"member-desk","max_attempts":2,"public":false}],
"backends":[{"name":"weft-lm","health_path":"/healthz","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.1,"engine":{"slots":4,"kv_capacity":217885,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
{"name":"member-desk","health_path":"/healthz","max_conns":130,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":1000000,"burst":1000000}]}`, version)
}

const key = "i9n73hh2b9wu3fexd9dn"
