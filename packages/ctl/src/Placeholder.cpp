namespace tanagerlanding {}
