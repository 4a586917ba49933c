//go:build review3

package main

import "strings"

// standaloneRules is what the settings of deploy/edge.edn say from :schema on.
const standaloneRules = ` :schema 1
 :clients {:connections %d :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}
 :units {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 4194304}
 :rules {:relays 1 :round 0.02 :deliveries 4 :parallel true :max-pause 1.0 :cold-from 0.3 :warm-up 4.0 :fall-multiple 3.0
         :fall-time 2.0 :window 4.0 :grace 1.0 :free 2.0 :count-per-op-type false :guarded-stages 0 :one-way-keys false
         :keys-kept 1000000 :forget-units 600.0}
 :release {:stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1 :by-clock false :replace true :harm-price 3.0
           :stale-price 0.5 :report-share 0.3 :vote-life 10.0 :vote-timeout 0.8 :votes-a-second 20.0}
 :op-types [{:name "chute-lookup" :target 0.3 :timeout 0.75 :importance 2 :effect :redeliverable}
            {:name "seal-gate" :target 0.3 :timeout 0.75 :importance 3 :effect %s}]
 :routes [{:method "GET" :path "/chute/" :op-type "chute-lookup"} {:method "POST" :path "/seal/" :op-type "seal-gate"}]}
`

// groupRules is what the settings of deploy/edge-led.edn say from :schema on, for a small site whose machines start at
// 0.64 of their capacity and are warm after 1.7 s.
const groupRules = ` :schema 1
 :clients {:connections 1000 :head-bytes 16384 :body-bytes 1048576 :read-time 5.0 :idle-time 60.0 :drain-time 10.0}
 :units {:connections 64 :dial-time 0.25 :idle-time 15.0 :answer-bytes 4194304}
 :rules {:relays 3 :round 0.02 :deliveries 4 :parallel true :max-pause 1.0 :cold-from 0.64 :warm-up 1.7 :fall-multiple 3.0
         :fall-time 2.0 :window 4.0 :grace 1.0 :free 2.0 :count-per-op-type false :guarded-stages 0 :one-way-keys false
         :keys-kept 1000000 :forget-units 600.0}
 :release {:stages [0.1 0.4 1.0] :caps [0.15 0.5 1.0] :back-votes 1 :by-clock false :replace false :harm-price 3.0
           :stale-price 0.5 :report-share 0.3 :vote-life 10.0 :vote-timeout 0.8 :votes-a-second 20.0}
 :op-types [{:name "chute-lookup" :target 0.3 :timeout 0.75 :importance 2 :effect :redeliverable}]
 :routes [{:method "GET" :path "/chute/" :op-type "chute-lookup"}]}
`

// controllerPart returns the part of the rules that a controller's file holds: not :schema, :clients, :units and :routes.
func controllerPart(text string) string {
	var kept []string
	for _, line := range strings.Split(text, "\n") {
		switch trimmed := strings.TrimSpace(line); {
		case strings.HasPrefix(trimmed, ":schema"), strings.HasPrefix(trimmed, ":clients"), strings.HasPrefix(trimmed, ":units"):
		case strings.HasPrefix(trimmed, ":routes"):
			kept = append(kept, "}")
		default:
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}
