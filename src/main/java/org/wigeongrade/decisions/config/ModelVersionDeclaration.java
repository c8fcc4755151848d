package org.wigeongrade.decisions.config;

import org.wigeongrade.ids.ModelVersionName;

/**
 * Declares a model version: {@code model} is the name that callers request, {@code weights} the key in the weight
 * store. Immutable; safe for use from any thread.
 */
public record ModelVersionDeclaration(ModelVersionName name, String model, String weights) {}
