package glencartgrpc

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
)

// What a service config (https://github.com/grpc/grpc/blob/master/doc/service_config.md) may hold here, and why not the
// rest of it.
var (
	methodKeys = []string{"name", "waitForReady", "timeout", "maxRequestMessageBytes", "maxResponseMessageBytes"}
	refusedKey = map[string]string{
		"loadBalancingConfig": "the module places each call: leave it out",
		"loadBalancingPolicy": "the module places each call: leave it out",
		"retryThrottling":     "the module has a budget of its own for repeats: leave it out",
		"healthCheckConfig":   "the module judges backends by their answers: leave it out",
	}
	refusedInMethod = map[string]string{
		"retryPolicy":   "the module decides on each attempt: leave it out, and name the class of the method in Methods",
		"hedgingPolicy": "no second copy is sent: leave it out, and name the class of the method in Methods",
	}
)

// serviceConfig checks the application's service config and returns the one that the resolver gives to gRPC: that with
// this package's policy. An error names the key and the remedy.
func serviceConfig(text string) (string, error) {
	if text == "" {
		return `{"loadBalancingConfig":[{"` + policyName + `":{}}]}`, nil
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(text), &all); err != nil {
		return "", fmt.Errorf("not a JSON object: %v", err)
	}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if why, ok := refusedKey[key]; ok {
			return "", fmt.Errorf("%s: not honoured: %s", key, why)
		}
		if key != "methodConfig" {
			return "", fmt.Errorf("%s: unknown key: a service config holds methodConfig here", key)
		}
	}
	var methods []map[string]json.RawMessage
	if raw := all["methodConfig"]; raw != nil {
		if err := json.Unmarshal(raw, &methods); err != nil {
			return "", fmt.Errorf("methodConfig: not a list of objects: %v", err)
		}
	}
	for i, m := range methods {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if why, ok := refusedInMethod[key]; ok {
				return "", fmt.Errorf("methodConfig[%d].%s: not honoured: %s", i, key, why)
			}
			if !slices.Contains(methodKeys, key) {
				return "", fmt.Errorf("methodConfig[%d].%s: unknown key: known are %s", i, key, strings.Join(methodKeys, ", "))
			}
		}
	}
	all["loadBalancingConfig"] = json.RawMessage(`[{"` + policyName + `":{}}]`)
	whole, err := json.Marshal(all)
	if err != nil {
		return "", err
	}
	// gRPC's own parser has the last word. It is reached only by way of a ClientConn; this one connects to nothing.
	cc, err := grpc.NewClient("passthrough:///", grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultServiceConfig(string(whole)))
	if err != nil {
		return "", err
	}
	return string(whole), cc.Close()
}

// methodSet is what a method config says that gRPC can't do by itself under a plug-in: its timeout and its wait are a
// call's, not an attempt's. Message sizes are gRPC's to keep.
type methodSet struct {
	timeout *time.Duration
	wait    bool
}

// methodSets finds method configs by full method name, by service ("/a.B/") and for all the rest ("/").
type methodSets map[string]methodSet

func (m methodSets) of(method string) methodSet {
	if len(m) == 0 {
		return methodSet{}
	}
	for _, name := range []string{method, method[:strings.LastIndexByte(method, '/')+1], "/"} {
		if set, ok := m[name]; ok {
			return set
		}
	}
	return methodSet{}
}

// methodSetsOf reads them from a service config that serviceConfig has passed.
func methodSetsOf(text string) (methodSets, error) {
	var config struct {
		MethodConfig []struct {
			Name         []struct{ Service, Method string }
			Timeout      json.RawMessage
			WaitForReady bool
		}
	}
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		return nil, err
	}
	sets := methodSets{}
	for i, m := range config.MethodConfig {
		set := methodSet{wait: m.WaitForReady}
		if len(m.Timeout) > 0 {
			var d durationpb.Duration
			if err := protojson.Unmarshal(m.Timeout, &d); err != nil {
				return nil, fmt.Errorf("methodConfig[%d].timeout: %v", i, err)
			}
			timeout := d.AsDuration()
			set.timeout = &timeout
		}
		for _, n := range m.Name {
			key := "/"
			if n.Service != "" {
				key += n.Service + "/" + n.Method
			}
			sets[key] = set
		}
	}
	return sets, nil
}
