package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import com.google.common.collect.Streams;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Writes a JSON result as text: an array of objects becomes a table, an object a list of its fields. No field is
 * dropped, whatever its name. Stateless; safe for use from any thread.
 */
final class TextTables {
    private static final String INDENT = "  ";
    private static final String ABSENT = "-";

    private TextTables() {}

    static String render(JsonNode result) {
        final StringBuilder text = new StringBuilder();
        append(text, result, "");
        return text.toString();
    }

    private static void append(StringBuilder text, JsonNode node, String indent) {
        if (node.isObject()) {
            appendObject(text, node, indent);
        } else if (isTable(node)) {
            appendTable(text, node, indent);
        } else if (node.isArray()) {
            node.forEach(element -> appendElement(text, element, indent));
        } else {
            text.append(indent).append(cell(node)).append('\n');
        }
    }

    private static void appendElement(StringBuilder text, JsonNode element, String indent) {
        if (element.isValueNode()) {
            text.append(indent).append(cell(element)).append('\n');
            return;
        }
        append(text, element, indent + INDENT);
    }

    private static void appendObject(StringBuilder text, JsonNode object, String indent) {
        final int width = object.properties().stream()
                .filter(field -> isCell(field.getValue()))
                .mapToInt(field -> field.getKey().length())
                .max()
                .orElse(0);
        for (final Map.Entry<String, JsonNode> field : object.properties()) {
            if (isCell(field.getValue())) {
                final String name = Strings.padEnd(field.getKey(), width, ' ');
                text.append(indent)
                        .append(name)
                        .append(INDENT)
                        .append(cell(field.getValue()))
                        .append('\n');
                continue;
            }
            text.append(indent).append(field.getKey()).append(":\n");
            append(text, field.getValue(), indent + INDENT);
        }
    }

    private static void appendTable(StringBuilder text, JsonNode rows, String indent) {
        final Set<String> names = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(names::add));
        final List<List<String>> lines = new ArrayList<>();
        lines.add(List.copyOf(names));
        rows.forEach(row -> lines.add(names.stream()
                .map(name -> row.has(name) ? cell(row.get(name)) : ABSENT)
                .toList()));
        final int[] widths = new int[names.size()];
        lines.forEach(line -> widen(widths, line));
        lines.forEach(line -> text.append(indent).append(pad(line, widths)).append('\n'));
    }

    private static void widen(int[] widths, List<String> line) {
        for (int i = 0; i < line.size(); i++) {
            widths[i] = Math.max(widths[i], line.get(i).length());
        }
    }

    private static String pad(List<String> line, int[] widths) {
        final StringBuilder padded = new StringBuilder();
        for (int i = 0; i < line.size(); i++) {
            padded.append(Strings.padEnd(line.get(i), widths[i], ' ')).append(INDENT);
        }
        return padded.toString().stripTrailing();
    }

    private static boolean isTable(JsonNode node) {
        return node.isArray()
                && !node.isEmpty()
                && Streams.stream(node)
                        .allMatch(row -> row.isObject() && Streams.stream(row).allMatch(TextTables::isCell));
    }

    private static boolean isCell(JsonNode node) {
        return node.isValueNode() || node.isEmpty() || isList(node);
    }

    private static boolean isList(JsonNode node) {
        return node.isArray() && Streams.stream(node).allMatch(JsonNode::isValueNode);
    }

    private static String cell(JsonNode node) {
        if (node.isNull() || (node.isContainerNode() && node.isEmpty())) {
            return ABSENT;
        }
        if (node.isArray()) {
            return Streams.stream(node).map(JsonNode::asText).collect(Collectors.joining(","));
        }
        return node.asText().isEmpty() ? ABSENT : node.asText();
    }
}
