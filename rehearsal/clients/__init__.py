"""Stand-ins for the applications: when they try again (`policy`, pure), how they speak (`caller`,
`flood`)."""
