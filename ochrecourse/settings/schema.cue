// What a gateway's settings may say. Every default and every bound is here.

#Product: {
	name:           string
	promised:       duration & >0ms           // an answer in this time earns the full payoff
	client_timeout: duration & >0ms
	payoff:         *1 | (number & >=0)
	late_share:     *0 | (number & >=0 & <=1) // of the payoff, for an answer after the promised time
	effect:         *"retriable" | "fingerprinted" | "binding"
	repeat_group:   *"all" | "zone" | "cell"  // the nodes that drop a repeat of a fingerprinted job
	repeat_window:  *5s | (duration & >=0ms)  // and for how long they know it
	in_order:       *false | bool
	writes:         *false | bool
}

#Plan: {
	name:        string
	rate:        rate & >=0/s                 // units a second for which a volume is sized
	reserve:     *0/s | (rate & >=0/s)
	weight:      *1 | (number & >0)
	worth:       *1 | (number & >=0)          // factor on the payoff
	limit:       *0/s | (rate & >=0/s)        // 0: none
	limit_burst: *0 | (number & >=0)          // units
	limit_slack: *0 | (number & >=0)          // units
}

gateway: {
	name:     string
	listen:   *"127.0.0.1:0" | string
	admin:    *"" | string                    // health and metrics; empty: none
	zone:     *0 | (int & >=0)
	gateways: *1 | (int & >=1)                // of this tier, this one included
	number:   *0 | (int & >=0)                // of this one among them
	travel:   *20ms | (duration & >=0ms & <=1s) // what an answer may take to its client
	state:    *"" | string                    // folder for what outlives a restart; empty: nothing does
	seed:     *0 | (int & >=0)                // of chance; 0: drawn at each start
}

list: address: string

products: [...#Product]
plans: [...#Plan]
zones: *["here"] | [...string]

units: {
	most:        *8 | (number & >=1)          // the largest job
	usual:       *2 | (number & >0)
	share_worth: *0.3 | (number & >=0 & <=1)
	spare_worth: *0.1 | (number & >=0 & <=1)
}

rules: {
	drain_grace:   *2s | (duration & >=0ms)
	cold_capacity: *0.25 | (number & >0 & <=1)
	cold_time:     *15s | (duration & >=0ms)
	cold_multiple: *3 | (number & >=1)
	cold_fall:     *1.5s | (duration & >=0ms)
	cold_units:    *8 | (number & >=0)
	order_rest:    *100ms | (duration & >=0ms)
}

budget?: {
	floor:  number & >=0
	share:  number & >=0 & <=1
	window: duration & >0ms
}

legs: {
	most:          *3 | (int & >=1 & <=16)
	second_copies: *false | bool
}

clients: {
	advice:         *true | bool
	longest_advice: *1s | (duration & >=0ms)
	open_jobs:      *20000 | (int & >=1)
	connections:    *20000 | (int & >=1)
}

connections: {
	dial_timeout: *250ms | (duration & >=10ms & <=10s)
	idle:         *15s | (duration & >=100ms)
	legs:         *32 | (int & >=1 & <=1024)
	most:         *4 | (int & >=1 & <=64)
	dials:        *16 | (int & >=1 & <=1024)
}

meter: {
	period:    *0ms | (duration & >=0ms)
	elsewhere: *false | bool
}

log: {
	level:  *"info" | "debug" | "warning"
	form:   *"auto" | "json" | "console"
	sample: *200/s | (rate & >0/s)            // lines of jobs that went as they should
}

tick: *2 | (number & >0) // ms; the finest time at which a due is kept
