package org.copperspindle.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * A parsed INI file. Collects the problems found in all its sections.
 */
public final class SettingsFile {

    private final String name;
    private final Map<String, SettingsSection> sections = new LinkedHashMap<>();
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SettingsFile(String name) {
        this.name = name;
    }

    /**
     * Reads a file.
     *
     * @param path the file
     * @return its sections
     * @throws SettingsException if it can't be read or is not INI
     */
    public static SettingsFile load(Path path) throws SettingsException {
        try {
            return parse(path.toString(), Files.readString(path, StandardCharsets.UTF_8));
        } catch (NoSuchFileException e) {
            throw new SettingsException(List.of(new SettingsProblem(path.toString(), "", "", "no such file", "")));
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(new SettingsProblem(path.toString(), "", "", "can't be read: " + e.getMessage(), "")));
        }
    }

    /**
     * Parses INI text from another source, for example an operator's request.
     *
     * @param name name for error messages
     * @param text the INI text
     * @return its sections
     * @throws SettingsException if it is not INI
     */
    public static SettingsFile parse(String name, String text) throws SettingsException {
        SettingsFile file = new SettingsFile(name);
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            throw new SettingsException(List.of(new SettingsProblem(name, "", "", "not INI: " + e.getMessage(), "")));
        }
        Map<String, List<ImmutableNode>> keys = keysBySection(ini);
        for (String section : ini.getSections()) {
            file.addSection(section, keys.getOrDefault(section, List.of()));
        }
        return file;
    }

    /**
     * Returns a section that must exist.
     *
     * @param section its name
     * @return the section; an empty one if it is missing
     */
    public SettingsSection section(String section) {
        SettingsSection found = sections.get(section);
        if (found == null) {
            problems.add(new SettingsProblem(name, section, "", "section missing", ""));
            return new SettingsSection(name, section, Map.of(), new ArrayList<>());
        }
        return found;
    }

    /**
     * Returns whether a section exists.
     *
     * @param section its name
     * @return true if it does
     */
    public boolean has(String section) {
        return sections.containsKey(section);
    }

    /**
     * Returns the sections whose name starts with a word.
     *
     * @param kind the word, for example {@code pool}
     * @return in the order of the file
     */
    public List<SettingsSection> sections(String kind) {
        return sections.values().stream()
                .filter(s -> s.name().startsWith(kind + " "))
                .toList();
    }

    /**
     * Reports sections of unknown kind and throws if any problem was found.
     *
     * @param kinds allowed first words of section names
     * @throws SettingsException with all problems
     */
    public void finish(List<String> kinds) throws SettingsException {
        for (SettingsSection section : sections.values()) {
            String kind = section.name().split(" ", 2)[0];
            if (!kinds.contains(kind)) {
                problems.add(new SettingsProblem(
                        name, section.name(), "", "unknown section", "one of " + String.join(", ", kinds)));
            }
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
    }

    /**
     * Groups the keys by section in one pass over the INI library's nodes. The library's view of a single section
     * searches all sections on each call, which makes reading quadratic in the number of sections.
     */
    private static Map<String, List<ImmutableNode>> keysBySection(INIConfiguration ini) {
        Map<String, List<ImmutableNode>> keys = new HashMap<>();
        for (ImmutableNode section :
                ini.getNodeModel().getNodeHandler().getRootNode().getChildren()) {
            keys.computeIfAbsent(section.getNodeName(), name -> new ArrayList<>())
                    .addAll(section.getChildren());
        }
        return keys;
    }

    private void addSection(String section, List<ImmutableNode> keys) {
        if (section == null) {
            problems.add(new SettingsProblem(name, "", "", "keys outside any section", ""));
            return;
        }
        // Nodes hold the text as written. The library's getters expand ${env:NAME} and similar expressions, so a
        // file sent to this process could read its environment, and two processes could read the same file
        // differently.
        Map<String, String> values = new LinkedHashMap<>();
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (ImmutableNode key : keys) {
            values.putIfAbsent(key.getNodeName(), String.valueOf(key.getValue()));
            counts.merge(key.getNodeName(), 1, Integer::sum);
        }
        counts.forEach((key, count) -> {
            if (count > 1) {
                problems.add(new SettingsProblem(name, section, key, "given " + count + " times", "one value"));
            }
        });
        sections.put(section, new SettingsSection(name, section, values, problems));
    }
}
