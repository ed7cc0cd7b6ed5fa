"""Where the list of servers comes from: sources, and what they say taken together.

A source (the platform's node list, a Eureka registry) tells records of instances. `merge` makes one view of
all sources, without I/O, and only that view reaches the core, in the form in which the platform's list
does. Nothing here is imported unless the operators' file has a `registries` table.
"""
