"""Release notes: data model, validation, application and scheduling."""
