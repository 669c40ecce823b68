// Reads and saves of lessons: every job may run again, work comes in surges, plans differ in weight.
gateway: {
	name:     "north-1"
	listen:   "127.0.0.1:7400"
	gateways: 3
	number:   0
	travel:   15ms
	state:    "/var/lib/ochrecourse"
}
list: address: "127.0.0.1:7300"
zones: ["north", "south"]

products: [
	{name: "page-read", promised: 200ms, client_timeout: 1.5s, payoff: 3, late_share: 0.15},
	{name: "note-save", promised: 350ms, client_timeout: 2s, payoff: 3, late_share: 0.15, writes: true},
]
plans: [
	{name: "open", rate: 4/s},
	{name: "team", rate: 8/s, reserve: 6/s, weight: 2},
	{name: "gold", rate: 15/s, reserve: 18/s, weight: 5, worth: 1.4},
]
