"""Reading Netflix Eureka's REST API (v2 paths, JSON and XML), as its public wiki and its clients describe
it."""
